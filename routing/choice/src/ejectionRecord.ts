/** Recent results of the requests to one upstream, and its ejections. */
export interface EjectionRecord {
    consecutiveFailures: number;
    /** Smoothed share of failed and slow requests, in [0, 1]. */
    failureShare: number;
    /** Smoothed time to the first byte, in milliseconds. */
    durationMs: number;
    /** Number of observations since the last ejection. */
    observationCount: number;
    /** Time until which the upstream receives no requests, in milliseconds. */
    ejectedUntilMs: number;
    /** Number of successive ejections, without a long pause between them. */
    ejectionCount: number;
}
