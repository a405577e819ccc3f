/** Names of the HTTP headers that control how a request is forwarded, in lower case. */
export interface CallHeaderNames {
    requestId: string;
    /** Carries the time left for the request, in milliseconds. */
    remainingMs: string;
    /** Carries the id of the only upstream that may run the request. */
    expectedUpstream: string;
    /** Present on responses of upstreams that did not run the request. */
    notRun: string;
    /** Present on all other responses of upstreams. */
    upstreamProof: string;
    lastEventId: string;
    waitMs: string;
    retryAfter: string;
}
