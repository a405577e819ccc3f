/** State that the ejector keeps for an upstream. */
export interface EjectionRecord {
    consecutiveFailures: number;
    /** Smoothed share of failures, in [0, 1]. */
    failureShare: number;
    /** Smoothed time to the first byte, in milliseconds. */
    durationMs: number;
    observationCount: number;
    /** Time until which the upstream receives no requests, in milliseconds. */
    ejectedUntilMs: number;
    ejectionCount: number;
}
