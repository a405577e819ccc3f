import type { LimitShares } from "./limitShares.js";

/** Gives each entry the same part: the baseline, which refuses too much where callers keep to few entries. */
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
