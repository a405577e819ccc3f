import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { TeamLoad } from "./teamLoad.js";

/** Total of the teams' usual rates, in calls per second. The engines have room for 1.2 times as many. */
const USUAL_CALLS_PER_SECOND = 74;

/**
 * Returns the loads of teams with the same usual rate and limit, shape [teams].
 *
 * @param opts.rateFactor multiple of the usual rate that a team sends at a time
 * @param opts.priority of a team; 0 if left out
 */
export function teamLoadsOf(opts: {
    count: number;
    rateFactor: (index: number, nowMs: number) => number;
    priority?: (index: number) => number;
}): TeamLoad[] {
    const usualRate = USUAL_CALLS_PER_SECOND / opts.count;
    return Array.from({ length: opts.count }, (_, index) => ({
        team: {
            id: `team-${index}` as TeamId,
            keys: [],
            priority: opts.priority?.(index) ?? 0,
            requestsPerSecond: usualRate,
            burst: 0,
        },
        ratePerSecond: nowMs => usualRate * opts.rateFactor(index, nowMs),
        isUsual: index > 0,
    }));
}
