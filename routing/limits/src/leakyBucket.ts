import type { RateLimit } from "./rateLimit.js";

const MS_PER_SECOND = 1000;

/**
 * A leaky bucket used as a meter, equivalent to the generic cell rate algorithm. In any window of W seconds at most
 * `burst + ratePerSecond * W` is taken. It stores the level of the bucket instead of a time, because the rate may
 * change between uses.
 */
export class LeakyBucket {
    private level = 0;
    private updatedAtMs = 0;

    /**
     * Returns the time until `cost` may be taken, in milliseconds; 0 for now. A cost above the burst waits for a full
     * burst.
     */
    waitMs(limit: RateLimit, cost: number, nowMs: number): number {
        const excess = this.levelAt(limit, nowMs) + Math.min(cost, limit.burst) - limit.burst;
        return Math.max(0, excess) / limit.ratePerSecond * MS_PER_SECOND;
    }

    /** Takes `cost` at once, even if the level then exceeds the burst. */
    take(limit: RateLimit, cost: number, nowMs: number): void {
        this.level = this.levelAt(limit, nowMs) + cost;
        this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
    }

    /** Adds `difference`, the amount that was used beyond the amount taken; negative if less was used. */
    correct(difference: number): void {
        this.level = Math.max(0, this.level + difference);
    }

    /** Returns the amount that has not drained yet. */
    levelAt({ ratePerSecond }: Pick<RateLimit, "ratePerSecond">, nowMs: number): number {
        const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
        return Math.max(0, this.level - elapsedMs * ratePerSecond / MS_PER_SECOND);
    }
}
