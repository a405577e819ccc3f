/** Count, mean, maximum and percentiles of a set of durations. */
export interface LatencySummary {
    count: number;
    meanMs: number;
    p50Ms: number;
    p90Ms: number;
    p99Ms: number;
    p999Ms: number;
    maxMs: number;
}
