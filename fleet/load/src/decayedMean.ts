/** Weighted mean of samples whose weight decays exponentially with their age. */
export class DecayedMean {
    private readonly decayMs: number;
    private mean = 0;
    private weight = 0;
    private atMs = -Infinity;

    /** @param opts.decayMs time in which the weight of a sample falls to 1/e, in milliseconds */
    constructor(opts: { decayMs: number; }) {
        this.decayMs = opts.decayMs;
    }

    /** The mean of the samples; 0 before the first. */
    get value(): number {
        return this.mean;
    }

    add(sample: number, weight: number, nowMs: number): void {
        this.weight = this.weightAt(nowMs) + weight;
        this.mean += (sample - this.mean) * weight / this.weight;
        this.atMs = nowMs;
    }

    /** Returns the total weight that the samples have now; 0 without samples. */
    weightAt(nowMs: number): number {
        return this.weight === 0 ? 0 : this.weight * Math.exp((this.atMs - nowMs) / this.decayMs);
    }
}
