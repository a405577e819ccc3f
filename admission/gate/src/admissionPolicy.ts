import type { GateDecision } from "./gateDecision.js";
import type { GateState } from "./gateState.js";

/** Decides which requests enter the engine. Pure: the same state gives the same decision. */
export interface AdmissionPolicy {
    decide(state: GateState): GateDecision;
}
