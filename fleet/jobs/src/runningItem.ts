import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** Properties of a running item that decide whether it is preempted. */
export interface RunningItem {
    upstreamId: UpstreamId;
    dueAtMs: number;
    startedAtMs: number;
    /** Whether the item will be late even if it keeps running. */
    isLate: boolean;
}
