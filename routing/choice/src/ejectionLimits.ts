/** When an upstream is ejected, and for how long. */
export interface EjectionLimits {
    /** Failures in a row that eject. */
    consecutiveFailures: number;
    /** Smoothed share of failures, in [0, 1], that ejects. */
    failureShare: number;
    /** Times the median of the others' smoothed durations that ejects. */
    slowFactor: number;
    /** Observations before shares and durations are judged. */
    minimumObservations: number;
    /** First ejection; doubled each time that the upstream fails again soon after, in milliseconds. */
    baseMs: number;
    maxMs: number;
    /** Largest share of the upstreams that may be ejected at once. */
    maxEjectedShare: number;
}
