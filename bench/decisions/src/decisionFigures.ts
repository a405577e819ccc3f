/** Figures of one policy under one load, over the measured span of the load pattern. */
export interface DecisionFigures {
    policy: string;
    load: string;
    calls: number;
    /** Mean value of a call to its caller: 1 on time, less after a rejection, little where late, 0 where unserved. */
    meanValue: number;
    /** Shares of the calls by their first event: on time counted from the first attempt, late, never. */
    onTimeShare: number;
    lateShare: number;
    unservedShare: number;
    /** Share of the calls that were rejected at least once. */
    refusedShare: number;
    /** Smallest share on time of all windows of two seconds. */
    worstWindowShare: number;
    /** Calls on time per second. */
    goodputPerSecond: number;
    /** Time after the span until all calls of half a second are on time; Infinity where that never happens. */
    recoveryMs: number;
    /** Share of the items due in the span whose result was stored on time. */
    itemsOnTimeShare: number;
}
