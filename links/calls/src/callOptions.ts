/** Options of one call over a link. */
export interface CallOptions {
    /** Cancels the call at the peer when aborted. */
    signal?: AbortSignal;
    /** Time left for the call, in milliseconds. It is sent to the peer with the request. */
    timeoutMs?: number;
    /** W3C trace context of the caller's span. */
    traceParent?: string;
}
