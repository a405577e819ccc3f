import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** Properties of a running item that decide whether it is preempted. */
export interface RunningItem {
    upstreamId: UpstreamId;
    /** Latest time at which it could have been at its present progress and still end in time, Unix ms. */
    latestStartAtMs: number;
    startedAtMs: number;
    /** Whether the item will be late even if it keeps running. */
    isLate: boolean;
}
