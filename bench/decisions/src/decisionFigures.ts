/** What one load did to its callers, over the span of its pattern. */
export interface DecisionFigures {
    policy: string;
    load: string;
    calls: number;
    /** What a call was worth to its caller: 1 on time, less after a refusal, little when late, 0 unserved. */
    meanValue: number;
    /** Shares of the calls: first event in time, counted from the first attempt; later; never. */
    onTimeShare: number;
    lateShare: number;
    unservedShare: number;
    /** Calls refused at least once, as a share. */
    refusedShare: number;
    /** Share on time in the worst two seconds. */
    worstWindowShare: number;
    /** Calls on time a second. */
    goodputPerSecond: number;
    /** Time after the span until a half second is all on time. */
    recoveryMs: number;
    /** Items due in the span with their result in time, as a share. */
    itemsOnTimeShare: number;
}
