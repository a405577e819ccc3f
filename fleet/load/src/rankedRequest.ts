import type { Urgency } from "./urgency.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** A waiting request with its urgency at present. */
export interface RankedRequest extends Urgency {
    waiting: WaitingRequest;
}
