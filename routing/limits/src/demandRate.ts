const TIME_CONSTANT_MS = 1000;
const MS_PER_SECOND = 1000;

/** Measures an amount per second, smoothed exponentially with a time constant of one second. */
export class DemandRate {
    private perSecond = 0;
    private updatedAtMs = 0;

    /** Adds an amount that was demanded at `nowMs`. */
    add(amount: number, nowMs: number): void {
        this.perSecond = this.valueAt(nowMs) + amount * MS_PER_SECOND / TIME_CONSTANT_MS;
        this.updatedAtMs = nowMs;
    }

    /** Returns the rate at `nowMs`, in the unit of the amounts per second. */
    valueAt(nowMs: number): number {
        return this.perSecond * Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / TIME_CONSTANT_MS);
    }
}
