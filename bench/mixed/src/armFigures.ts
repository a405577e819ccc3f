import type { LatencySummary } from "./latencySummary.js";

/** Figures of one arm over all its slices. */
export interface ArmFigures {
    title: string;
    timeToFirstToken: LatencySummary;
    tokenGap: LatencySummary;
    batchTokensPerSecond: number;
    onlineTokensPerSecond: number;
    /** Batch tokens as a share of the bound (e); 0 for online alone. */
    batchShareOfBound: number;
    /** Number of cancelled batch streams. */
    preemptions: number;
    /** Tokens of cancelled batch streams from which no stream resumed within the slices. */
    tokensThrownAway: number;
    failedCalls: number;
    /** Error texts of the first failures, at most 3. */
    failures: string[];
    measuredMs: number;
}
