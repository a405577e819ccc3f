import type { Clock } from "@knapweedwood/core.clock/clock";

/** Number of parts that all responses beyond their own limit may have together in a millisecond. */
const PARTS_PER_MS = 50;
/** Number of such parts that may come at once. */
const BURST_PARTS = 4000;

/** Limits how many parts a process handles of the responses that come in too many small parts, over all of them. */
export class PartBudget {
    private readonly clock: Clock;
    private availableParts = BURST_PARTS;
    private updatedAtMs: number;

    constructor(opts: { clock: Clock; }) {
        this.clock = opts.clock;
        this.updatedAtMs = opts.clock.nowMs();
    }

    /** Takes `parts` from the budget. @returns false if there are fewer; then nothing is taken */
    tryTake(parts: number): boolean {
        const nowMs = this.clock.nowMs();
        const addedParts = (nowMs - this.updatedAtMs) * PARTS_PER_MS;
        this.availableParts = Math.min(BURST_PARTS, this.availableParts + addedParts);
        this.updatedAtMs = nowMs;
        const hasParts = this.availableParts >= parts;
        this.availableParts -= hasParts ? parts : 0;
        return hasParts;
    }
}
