import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** How many requests a process runs at an upstream. */
export interface UpstreamCount {
    upstreamId: UpstreamId;
    online: number;
    batch: number;
}
