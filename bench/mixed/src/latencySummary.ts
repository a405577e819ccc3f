/** Sample count and quantiles of a latency, in milliseconds. */
export interface LatencySummary {
    count: number;
    p50Ms: number;
    p99Ms: number;
    p999Ms: number;
}
