import type { UpstreamMode } from "./upstreamMode.js";

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
    /** How the upstream spoiled it on purpose; undefined where it did not. */
    faultMode: UpstreamMode | undefined;
}
