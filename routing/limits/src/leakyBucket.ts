import type { RateLimit } from "./rateLimit.js";

const MS_PER_SECOND = 1000;

/**
 * Leaky bucket used as a meter, the equal of the generic cell rate algorithm: in any window of W seconds at most
 * `burst + ratePerSecond * W` is taken. It keeps what is owed and not a time, as its rate may change between uses.
 */
export class LeakyBucket {
    private level = 0;
    private updatedAtMs = 0;

    /** Time until `cost` may be taken, in milliseconds; 0 for now. A cost above the burst waits for a full burst. */
    waitMs(limit: RateLimit, cost: number, nowMs: number): number {
        const excess = this.levelAt(limit, nowMs) + Math.min(cost, limit.burst) - limit.burst;
        return Math.max(0, excess) / limit.ratePerSecond * MS_PER_SECOND;
    }

    take(limit: RateLimit, cost: number, nowMs: number): void {
        this.level = this.levelAt(limit, nowMs) + cost;
        this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
    }

    /** Gives back what was taken and not used, or takes what was used beyond it. */
    correct(difference: number): void {
        this.level = Math.max(0, this.level + difference);
    }

    private levelAt({ ratePerSecond }: RateLimit, nowMs: number): number {
        const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
        return Math.max(0, this.level - elapsedMs * ratePerSecond / MS_PER_SECOND);
    }
}
