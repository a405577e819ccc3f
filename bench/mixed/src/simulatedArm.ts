import type { EngineTotals } from "@knapweedwood/standins.engine/engineTotals";
import type { LatencyQuantiles } from "./latencyQuantiles.js";

/** Figures of one arm of a simulation. */
export interface SimulatedArm {
    timeToFirstToken: LatencyQuantiles;
    /** Time to first token by arrival, shape [arrivals]; undefined where the call did not end within the simulation. */
    firstTokenMs: (number | undefined)[];
    tokenGap: LatencyQuantiles;
    failedCalls: number;
    totals: EngineTotals;
}
