/** Weight of the newest sample once there are many. */
const NEWEST_WEIGHT = 0.05;

/** Exponential moving average. The first samples have equal weight, so that it doesn't depend on an initial guess. */
export class MovingMean {
    private count = 0;
    private mean = 0;

    add(sample: number): void {
        this.count += 1;
        this.mean += (sample - this.mean) * Math.max(NEWEST_WEIGHT, 1 / this.count);
    }

    /** The mean; undefined before the first sample. */
    get value(): number | undefined {
        return this.count === 0 ? undefined : this.mean;
    }
}
