import type { AdmissionPolicy } from "./admissionPolicy.js";
import { fittingOnlineCalls } from "./fittingOnlineCalls.js";
import type { GateDecision } from "./gateDecision.js";
import type { GateState } from "./gateState.js";

/** Admits online work only. Baseline for comparisons. */
export class BatchOffPolicy implements AdmissionPolicy {
    decide(state: GateState): GateDecision {
        return {
            admitOnline: fittingOnlineCalls(state),
            preempt: state.batch.running.map(item => item.key),
            start: [],
            targetWaiting: 0,
        };
    }
}
