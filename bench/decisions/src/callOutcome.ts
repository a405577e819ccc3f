/** What became of one caller. */
export interface CallOutcome {
    arrivedAtMs: number;
    firstEventAtMs: number | undefined;
    /** When it asked last. */
    lastAttemptAtMs: number;
    rejections: number;
}
