import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** Numbers of requests that a process has running at an upstream. */
export interface UpstreamCount {
    upstreamId: UpstreamId;
    online: number;
    batch: number;
}
