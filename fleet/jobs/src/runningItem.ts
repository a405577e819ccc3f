import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** What the choice of runs to end is made from. */
export interface RunningItem {
    upstreamId: UpstreamId;
    dueAtMs: number;
    startedAtMs: number;
    /** Whether it will be late even if it goes on. */
    isLate: boolean;
}
