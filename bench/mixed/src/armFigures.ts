import type { LatencyQuantiles } from "./latencyQuantiles.js";

/** Figures of one arm over all its slices. */
export interface ArmFigures {
    title: string;
    timeToFirstToken: LatencyQuantiles;
    tokenGap: LatencyQuantiles;
    batchTokensPerSecond: number;
    onlineTokensPerSecond: number;
    /** Batch tokens per second as a share of the report's `boundTokensPerSecond`; 0 for arm a. */
    batchShareOfBound: number;
    /** Number of cancelled batch streams. */
    preemptions: number;
    /** Tokens of cancelled batch streams from which no stream resumed within the slices. */
    tokensThrownAway: number;
    /** Number of calls that failed, were rejected, or whose stream ended early. */
    failedCalls: number;
    /** Error texts of the first failures, at most 3. */
    failures: string[];
    measuredMs: number;
}
