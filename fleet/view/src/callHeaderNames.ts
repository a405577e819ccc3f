/** Names of the HTTP headers that control how a request is forwarded, in lower case. */
export interface CallHeaderNames {
    requestId: string;
    /** Carries the time left for the request, in milliseconds. */
    remainingMs: string;
    /** Carries the id of the only upstream that may run the request. */
    expectedUpstream: string;
    /** Demands a version of the upstream's weights. Any other upstream rejects the request like one for another upstream. */
    expectedVersion: string;
    /** Present on responses of upstreams that did not run the request. */
    notRun: string;
    /** Present on all responses of upstreams that are about to end. */
    leaving: string;
    /** Names the requests a second that an upstream in need takes from all processes together. */
    requestLimit: string;
    /** Present on all responses of upstreams that ran the request. */
    upstreamProof: string;
    /** Carries the key of the caller. */
    key: string;
    /** Tells an upstream the team of the caller. */
    team: string;
    /** Lists the parts of the prompt. */
    promptParts: string;
    /** Carries the number of tokens of the prompt and the largest number of the response. */
    tokenCounts: string;
    /** Carries the id of the event after which a stream or an item resumes. */
    lastEventId: string;
    /** Carries the id of the request that began the stream which the caller resumes. */
    resumedRequestId: string;
    /** Carries the time to wait for results of a job, in milliseconds. */
    waitMs: string;
    /** Carries the time after which a rejected caller may retry, in seconds. */
    retryAfter: string;
}
