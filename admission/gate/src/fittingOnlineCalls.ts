import type { GateState } from "./gateState.js";

/** Returns how many waiting online calls would fit into the engine if no batch work ran. */
export function fittingOnlineCalls(state: GateState): number {
    const { costs, limits, objective, online } = state;
    const decodeSlots = (objective.tokenGapObjectiveMs - costs.fixedMs) / Math.max(costs.perSequenceMs, Number.EPSILON);
    const slots = Math.floor(Math.min(limits.maxSequences - state.externalSequences, Math.max(1, decodeSlots)));
    const freeSlots = Math.max(0, slots - online.running);
    let kvTokens = online.kvTokens;
    const firstTooLarge = online.waiting.slice(0, freeSlots).findIndex(call => {
        kvTokens += call.kvTokens;
        return kvTokens > limits.kvTokens && online.running > 0;
    });
    return firstTooLarge === -1 ? Math.min(freeSlots, online.waiting.length) : firstTooLarge;
}
