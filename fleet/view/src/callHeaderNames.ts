/** Names of the headers that carry a request's terms, in lower case. */
export interface CallHeaderNames {
    requestId: string;
    /** Milliseconds that are left for the request. */
    remainingMs: string;
    /** Names the one upstream that may run the request. */
    expectedUpstream: string;
    /** Present on answers of upstreams that did not run the request. */
    notRun: string;
    /** Present on all other answers of upstreams. */
    upstreamProof: string;
    lastEventId: string;
    waitMs: string;
    retryAfter: string;
}
