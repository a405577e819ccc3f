import type { LimitShares } from "./limitShares.js";

/**
 * Gives each entry the same share. This is the baseline for comparison: it rejects too many requests if callers use
 * only a few entries.
 */
export class EqualShares implements LimitShares {
    private readonly countEntries: () => number;

    constructor(countEntries: () => number) {
        this.countEntries = countEntries;
    }

    get entryCount(): number {
        return Math.max(1, this.countEntries());
    }

    onDemand(): void {
        return;
    }

    shareOf(): number {
        return 1 / this.entryCount;
    }
}
