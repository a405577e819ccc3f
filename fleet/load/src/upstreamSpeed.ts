import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** What a process has learned of an upstream's speed. */
export interface UpstreamSpeed {
    upstreamId: UpstreamId;
    /** Ratio of the upstream's time per event to its service's: 2 is half as fast. */
    slowness: number;
}
