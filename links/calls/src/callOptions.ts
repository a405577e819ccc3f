/** Options of one call over a link. */
export interface CallOptions {
    /** Cancels the call at the other end when aborted. */
    signal?: AbortSignal;
    /** Time left for the call, carried over the hop, in milliseconds. */
    timeoutMs?: number;
    /** W3C trace context of the caller's span. */
    traceParent?: string;
}
