import type { GateState } from "./gateState.js";

/** How many waiting online calls the engine has room for when no batch work runs. */
export function fittingOnlineCalls(state: GateState): number {
    const { costs, limits, objective, online } = state;
    const decodeRoom = (objective.tokenGapObjectiveMs - costs.fixedMs) / Math.max(costs.perSequenceMs, Number.EPSILON);
    const slots = Math.floor(Math.min(limits.maxSequences - state.foreignSequences, Math.max(1, decodeRoom)));
    const room = Math.max(0, slots - online.running);
    let kvTokens = online.kvTokens;
    const firstTooBig = online.waiting.slice(0, room).findIndex(call => {
        kvTokens += call.kvTokens;
        return kvTokens > limits.kvTokens && online.running > 0;
    });
    return firstTooBig === -1 ? Math.min(room, online.waiting.length) : firstTooBig;
}
