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
    /** The header with a key, which no upstream may receive. */
    key: string | undefined;
    /** The team that the request names; undefined for none. */
    team: string | undefined;
    /** Id of the event after which the stream is to resume; 0 for a stream from its start. */
    lastEventId: number;
    /** How the upstream failed the request on purpose; undefined if it did not. `crash`: it ended during the run. */
    faultMode: UpstreamMode | "crash" | undefined;
}
