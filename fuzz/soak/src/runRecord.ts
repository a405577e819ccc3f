/** A request that an upstream began to work on. */
export interface RunRecord {
    /** Id of the call or of the batch item. */
    callId: string;
    upstreamId: string;
    service: string;
    method: string;
    path: string;
    body: string;
    atMs: number;
    lastEventId: number;
    /** Whether the upstream broke off, failed or spoiled it on purpose. */
    isSpoiled: boolean;
}
