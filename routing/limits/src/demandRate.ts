const DEFAULT_TIME_CONSTANT_MS = 1000;
const MS_PER_SECOND = 1000;

/** Measures an amount per second, smoothed exponentially. */
export class DemandRate {
    private readonly timeConstantMs: number;
    private perSecond = 0;
    private updatedAtMs = 0;

    constructor(timeConstantMs = DEFAULT_TIME_CONSTANT_MS) {
        this.timeConstantMs = timeConstantMs;
    }

    /** Adds an amount that was demanded at `nowMs`. */
    add(amount: number, nowMs: number): void {
        this.perSecond = this.valueAt(nowMs) + amount * MS_PER_SECOND / this.timeConstantMs;
        this.updatedAtMs = nowMs;
    }

    /** Returns the rate at `nowMs`, in the unit of the amounts per second. */
    valueAt(nowMs: number): number {
        return this.perSecond * Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / this.timeConstantMs);
    }
}
