import type { LatencySummary } from "./latencySummary.js";

/** What an arm measured, over all its slices. */
export interface ArmFigures {
    title: string;
    timeToFirstToken: LatencySummary;
    tokenGap: LatencySummary;
    batchTokensPerSecond: number;
    onlineTokensPerSecond: number;
    /** Share of the bound (e); 0 for online alone. */
    batchShareOfBound: number;
    /** Batch streams cancelled. */
    preemptions: number;
    /** Tokens of cancelled batch streams that were not resumed from within the slices. */
    tokensThrownAway: number;
    failedCalls: number;
    /** Texts of the first failures, shape [0..3]. */
    failures: string[];
    measuredMs: number;
}
