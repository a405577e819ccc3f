import type { TeamFigures } from "./teamFigures.js";

/** Figures of one policy under one load, over the measured span of the load pattern. */
export interface DecisionFigures {
    policy: string;
    load: string;
    calls: number;
    /**
     * Mean value of a call to its caller: 1 where on time, less where only its retry was on time, little where late, 0
     * where unserved.
     */
    meanValue: number;
    /** Shares of the calls whose first event was on time, late or missing, counted from the first attempt. */
    onTimeShare: number;
    lateShare: number;
    unservedShare: number;
    /** Share of the calls that were rejected at least once. */
    refusedShare: number;
    /** Smallest share of calls on time in any window of two seconds. */
    worstWindowShare: number;
    /** Calls on time per second. */
    goodputPerSecond: number;
    /** Time from the end of the span to the first half second whose calls are all on time; Infinity where none is. */
    recoveryMs: number;
    /** Share of the items due in the span whose result was stored on time. */
    itemsOnTimeShare: number;
    /** Figures of the teams of the first seed, shape [teams]; empty if callers have no teams. */
    teams: TeamFigures[];
    /** Smallest share of calls on time of any team that sends at its usual rate; 1 without such teams. */
    worstUsualTeamShare: number;
}
