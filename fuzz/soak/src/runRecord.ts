import type { UpstreamMode } from "./upstreamMode.js";

/** A request that an upstream started to run. */
export interface RunRecord {
    /** Id of the call or the batch item. */
    callId: string;
    upstreamId: string;
    service: string;
    method: string;
    path: string;
    body: string;
    atMs: number;
    /** Id of the event after which the stream is to resume; 0 for a stream from its start. */
    lastEventId: number;
    /** The mode in which the upstream failed the request on purpose; undefined if it did not. */
    faultMode: UpstreamMode | undefined;
}
