/** What the ejector remembers of an upstream. */
export interface UpstreamHealth {
    consecutiveFailures: number;
    /** Smoothed share of failures, in [0, 1]. */
    failureShare: number;
    /** Smoothed time to the first byte, in milliseconds. */
    durationMs: number;
    observationCount: number;
    /** The upstream gets nothing before this time, in milliseconds. */
    ejectedUntilMs: number;
    ejectionCount: number;
}
