import type { BatchCandidate } from "./batchCandidate.js";
import type { RunningItem } from "./runningItem.js";

/**
 * Returns the runs to end at an upstream when a burst of online requests takes its load above its slots. Items that
 * will be late even if they keep running are preempted first, then those that should
 * have begun last, then those started last.
 */
export function chooseRunsToPreempt<Run extends RunningItem>(candidate: BatchCandidate, runs: readonly Run[]): Run[] {
    const excess = candidate.online + candidate.batch - candidate.upstream.slots;
    return runs
        .filter(run => run.upstreamId === candidate.upstream.id)
        .sort((left, right) =>
            Number(right.isLate) - Number(left.isLate)
            || right.beginByMs - left.beginByMs
            || right.startedAtMs - left.startedAtMs
        )
        .slice(0, Math.max(0, excess));
}
