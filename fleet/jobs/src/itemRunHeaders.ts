/** Names of the headers that a run of an item uses, in lower case. */
export interface ItemRunHeaders {
    requestId: string;
    expectedUpstream: string;
    lastEventId: string;
    notRun: string;
    upstreamProof: string;
}
