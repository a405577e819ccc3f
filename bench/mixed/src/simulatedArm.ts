import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import type { LatencySummary } from "./latencySummary.js";

/** Figures of one arm of a simulation. */
export interface SimulatedArm {
    timeToFirstToken: LatencySummary;
    /** Time to first token by arrival, shape [arrivals]; undefined where the call did not end within the simulation. */
    firstTokenMs: (number | undefined)[];
    tokenGap: LatencySummary;
    failedCalls: number;
    totals: EngineTotals;
}
