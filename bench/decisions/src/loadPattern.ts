import type { TeamLoad } from "./teamLoad.js";

/** A load over time: the arrival rate as a multiple of the usual rate, and the share of available engines. */
export interface LoadPattern {
    name: string;
    durationMs: number;
    /** Measured span. Recovery is timed from its end. */
    fromMs: number;
    toMs: number;
    rateFactor: (nowMs: number) => number;
    engineShare: (nowMs: number) => number;
    /** The loads of the teams, shape [teams], instead of `rateFactor`; undefined if callers have no teams. */
    teams: readonly TeamLoad[] | undefined;
}
