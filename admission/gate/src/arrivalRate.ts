const WINDOW_MS = 1000;
const MS_PER_SECOND = 1000;

/** Rate of recent arrivals; each counts for about a second. */
export class ArrivalRate {
    private weight = 0;
    private lastMs = 0;

    /** Notes an arrival. */
    add(nowMs: number): void {
        this.weight = this.weightAt(nowMs) + 1;
        this.lastMs = nowMs;
    }

    perSecond(nowMs: number): number {
        return this.weightAt(nowMs) * MS_PER_SECOND / WINDOW_MS;
    }

    private weightAt(nowMs: number): number {
        return this.weight * Math.exp(-(nowMs - this.lastMs) / WINDOW_MS);
    }
}
