/** One response frame of {@link streamCall}. */
export interface StreamFrame {
    callId: number;
    index: number;
    /** Number of times that a handler has been started for this call. */
    runCount: number;
    /** Time since the handler was started, in milliseconds. */
    elapsedMs: number;
}
