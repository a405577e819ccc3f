/** What the decision on one request is made from. */
export interface AdmissionInputs {
    /** Requests that wait for the same service, over all processes. */
    waitingAhead: number;
    /** Slots of the service over all usable upstreams. */
    slots: number;
    /** Mean time that a request holds a slot, in milliseconds. */
    meanHoldMs: number;
    /** Time left until an answer is late; negative where it is late already. */
    objectiveLeftMs: number;
    /** Time left until the caller gives up. */
    callerTimeLeftMs: number;
    /** Whether the caller was refused before and has come back. */
    isRetry: boolean;
}
