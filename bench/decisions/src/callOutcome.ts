/** Outcome of one call. Times are in milliseconds of the simulation clock. */
export interface CallOutcome {
    arrivedAtMs: number;
    /** Undefined where no event arrived. */
    firstEventAtMs: number | undefined;
    /** Start of the last attempt. */
    lastAttemptAtMs: number;
    /** How many attempts were rejected. */
    rejections: number;
}
