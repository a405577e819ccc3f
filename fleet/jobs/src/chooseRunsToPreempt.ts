import type { BatchCandidate } from "./batchCandidate.js";
import type { RunningItem } from "./runningItem.js";

/**
 * Answers bursts: where online requests and items together want more than the slots, items give way: those that will be
 * late anyway first, then those that are due last, and among these the ones started last.
 */
export function chooseRunsToPreempt<Run extends RunningItem>(candidate: BatchCandidate, runs: readonly Run[]): Run[] {
    const excess = candidate.online + candidate.batch - candidate.upstream.slots;
    return runs
        .filter(run => run.upstreamId === candidate.upstream.id)
        .sort((left, right) =>
            Number(right.isLate) - Number(left.isLate)
            || right.dueAtMs - left.dueAtMs
            || right.startedAtMs - left.startedAtMs
        )
        .slice(0, Math.max(0, excess));
}
