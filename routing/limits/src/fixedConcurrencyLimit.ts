import type { ConcurrencyLimit } from "./concurrencyLimit.js";

/** Allows a fixed number of concurrent calls. This is the baseline for comparison. */
export class FixedConcurrencyLimit implements ConcurrencyLimit {
    readonly limit: number;
    private inFlightCount = 0;

    constructor(limit: number) {
        this.limit = limit;
    }

    tryAcquire(): boolean {
        if (this.inFlightCount >= this.limit) {
            return false;
        }
        this.inFlightCount += 1;
        return true;
    }

    release(): void {
        this.inFlightCount = Math.max(0, this.inFlightCount - 1);
    }
}
