import type { AdmissionPolicy } from "./admissionPolicy.js";
import type { GateDecision } from "./gateDecision.js";
import type { GateState } from "./gateState.js";

/** Keeps the engine full of batch work and lets online calls queue inside it. A baseline. */
export class FirstComeFirstServedPolicy implements AdmissionPolicy {
    decide(state: GateState): GateDecision {
        const { batch, limits, online } = state;
        const freeSlots = Math.max(0, limits.maxSequences - online.running - batch.running.length);
        return {
            admitOnline: online.waiting.length,
            preempt: [],
            start: batch.waiting.slice(0, freeSlots).map(item => item.key),
            targetWaiting: limits.maxSequences,
        };
    }
}
