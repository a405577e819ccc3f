/** Conditions under which an upstream is ejected, and the duration of an ejection. */
export interface EjectionLimits {
    /** Number of consecutive failures that causes an ejection. */
    consecutiveFailures: number;
    /** Smoothed share of failed and slow requests that causes an ejection, in [0, 1]. */
    failureShare: number;
    /** Ratio of the upstream's smoothed duration to the median of its peers that causes an ejection. */
    slowFactor: number;
    /** Number of observations before shares and durations are evaluated. */
    minimumObservations: number;
    /** Duration of the first ejection, in milliseconds. Doubled each time the upstream fails again soon after. */
    baseMs: number;
    /** Longest duration of an ejection, in milliseconds. */
    maxMs: number;
    /** Maximum share of the upstreams that may be ejected at once, in [0, 1]. */
    maxEjectedShare: number;
}
