import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import type { LatencySummary } from "./latencySummary.js";

/** What one arm of a simulation measured. */
export interface SimulatedArm {
    timeToFirstToken: LatencySummary;
    /** By arrival, shape [arrivals]; undefined where the call did not end in time. */
    firstTokenMs: (number | undefined)[];
    tokenGap: LatencySummary;
    failedCalls: number;
    totals: EngineTotals;
}
