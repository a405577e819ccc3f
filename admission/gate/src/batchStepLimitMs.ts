import type { GateState } from "./gateState.js";

/** The step time up to which batch work fills a step. */
export function batchStepLimitMs(state: GateState): number {
    const { costs, objective } = state;
    const floorMs = costs.fixedMs + costs.perSequenceMs;
    const rangeMs = Math.max(0, objective.tokenGapObjectiveMs - floorMs);
    return floorMs + objective.batchBalance * rangeMs;
}
