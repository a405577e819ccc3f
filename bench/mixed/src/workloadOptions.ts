/** Options of a workload. */
export interface WorkloadOptions {
    seed: number;
    /** Seed of the texts only. Another text seed gives the same arrivals and lengths with different words. */
    textSeed: number;
    durationMs: number;
    /** Mean rate outside bursts, over the whole fleet. */
    baseRatePerSecond: number;
    /** Factor by which the rate is higher within a burst. */
    burstFactor: number;
    /** Mean time from the end of a burst to the start of the next. */
    burstEveryMs: number;
    /** Mean duration of a burst. */
    burstDurationMs: number;
    model: string;
}
