import type { JobRun } from "./jobRun.js";
import type { TeamShares } from "./teamShares.js";

/** Orders jobs for handing out items: overdue jobs first by due time, then by their teams' shares, then by due time. */
export function compareRuns(left: JobRun, right: JobRun, opts: { nowMs: number; shares: TeamShares; }): number {
    const leftOverdue = left.manifest.dueAtMs <= opts.nowMs;
    const rightOverdue = right.manifest.dueAtMs <= opts.nowMs;
    if (leftOverdue !== rightOverdue) {
        return leftOverdue ? -1 : 1;
    }
    const byDueTime = left.manifest.dueAtMs - right.manifest.dueAtMs;
    const byShare = opts.shares.weightedCountOf(left.manifest.teamId)
        - opts.shares.weightedCountOf(right.manifest.teamId);
    return leftOverdue ? byDueTime : byShare || byDueTime;
}
