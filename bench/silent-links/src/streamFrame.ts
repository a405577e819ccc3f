/** One frame of a stream. */
export interface StreamFrame {
    callId: number;
    index: number;
    /** How often a handler has been started for this call. */
    runCount: number;
    /** Time since the handler was started. */
    elapsedMs: number;
}
