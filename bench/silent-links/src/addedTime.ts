/** Latency of calls beyond the duration of their handlers. */
export interface AddedTime {
    callCount: number;
    p50Ms: number;
    p99Ms: number;
    maxMs: number;
}
