/** Quantiles in milliseconds. */
export interface Quantiles {
    p50Ms: number;
    p99Ms: number;
    maxMs: number;
    count: number;
}
