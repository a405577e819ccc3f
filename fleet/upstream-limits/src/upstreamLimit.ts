import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** What an upstream has said of the requests that it takes from all processes together. */
export interface UpstreamLimit {
    upstreamId: UpstreamId;
    /** Start of the upstream's process, Unix ms. Another process of the upstream has named nothing yet. */
    startedAtMs: number;
    /** Undefined if its last response named no limit. */
    requestsPerSecond: number | undefined;
    /** Time of the response, in milliseconds. */
    observedAtMs: number;
}
