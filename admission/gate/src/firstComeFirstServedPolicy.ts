import type { AdmissionPolicy } from "./admissionPolicy.js";
import type { GateDecision } from "./gateDecision.js";
import type { GateState } from "./gateState.js";

/** Fills the engine with batch work and lets online calls queue inside it. Baseline for comparisons. */
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
