const SAMPLE_COUNT = 256;
const SAMPLES_PER_SORT = 16;

/** Quantile of the most recent durations. */
export class DurationQuantile {
    private readonly quantile: number;
    private readonly samplesMs: number[] = [];
    private sampleIndex = 0;
    private observedCount = 0;
    private currentMs: number | undefined;

    /** @param quantile in (0, 1) */
    constructor(quantile: number) {
        this.quantile = quantile;
    }

    /** Current value, in milliseconds; undefined until there are enough samples. */
    get valueMs(): number | undefined {
        return this.currentMs;
    }

    /** Records a duration, in milliseconds. */
    observe(durationMs: number): void {
        this.samplesMs[this.sampleIndex] = durationMs;
        this.sampleIndex = (this.sampleIndex + 1) % SAMPLE_COUNT;
        this.observedCount += 1;
        if (this.observedCount % SAMPLES_PER_SORT === 0) {
            const sorted = [...this.samplesMs].sort((left, right) => left - right);
            this.currentMs = sorted[Math.floor(sorted.length * this.quantile)];
        }
    }
}
