import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** Properties of a running item that decide whether it is preempted. */
export interface RunningItem {
    upstreamId: UpstreamId;
    /** Latest time at which the item should have begun, Unix ms. */
    beginByMs: number;
    startedAtMs: number;
    /** Whether the item will be late even if it keeps running. */
    isLate: boolean;
}
