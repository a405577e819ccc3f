import type { Urgency } from "./urgency.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** A waiting request with its urgency at present. */
export interface RankedRequest extends Urgency {
    waiting: WaitingRequest;
    /** Time from which on a response is too late for the objective, in milliseconds. */
    objectiveAtMs: number;
}
