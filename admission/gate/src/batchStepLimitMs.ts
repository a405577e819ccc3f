import type { GateState } from "./gateState.js";

/** Returns the step duration up to which batch work may fill a step, in milliseconds. */
export function batchStepLimitMs(state: GateState): number {
    const { costs, objective } = state;
    const floorMs = costs.fixedMs + costs.perSequenceMs;
    const rangeMs = Math.max(0, objective.tokenGapObjectiveMs - floorMs);
    return floorMs + objective.batchBalance * rangeMs;
}
