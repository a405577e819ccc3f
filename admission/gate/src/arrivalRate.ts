const WINDOW_MS = 1000;
const MS_PER_SECOND = 1000;

/** Exponentially decayed rate of recent arrivals. Each arrival counts for about a second. */
export class ArrivalRate {
    private decayedCount = 0;
    private lastMs = 0;

    /** Records an arrival. */
    record(nowMs: number): void {
        this.decayedCount = this.decayedCountAt(nowMs) + 1;
        this.lastMs = nowMs;
    }

    /** Returns the rate at `nowMs`, in arrivals per second. */
    perSecond(nowMs: number): number {
        return this.decayedCountAt(nowMs) * MS_PER_SECOND / WINDOW_MS;
    }

    private decayedCountAt(nowMs: number): number {
        return this.decayedCount * Math.exp(-(nowMs - this.lastMs) / WINDOW_MS);
    }
}
