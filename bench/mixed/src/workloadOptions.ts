/** Shape of a workload. */
export interface WorkloadOptions {
    seed: number;
    /** Seed of the texts alone: another one gives the same arrivals and lengths with other words. */
    textSeed: number;
    durationMs: number;
    /** Mean rate outside bursts, over the whole fleet. */
    baseRatePerSecond: number;
    /** Factor of the rate within a burst. */
    burstFactor: number;
    /** Mean time between the starts of bursts. */
    burstEveryMs: number;
    /** Mean duration of a burst. */
    burstDurationMs: number;
    model: string;
}
