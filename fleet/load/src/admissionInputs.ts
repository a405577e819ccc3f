/** Inputs of the admission decision on one request. */
export interface AdmissionInputs {
    /** Number of requests ahead of this one for the same service, over all processes. */
    waitingAhead: number;
    /** Number of slots of the service over all usable upstreams. */
    slots: number;
    /** Mean time that a request holds a slot, in milliseconds. */
    meanHoldMs: number;
    /** Mean time from the placement of a request to its first data, in milliseconds. */
    meanFirstDataMs: number;
    /** Time left until a response misses the route's objective, in milliseconds; negative once it has. */
    objectiveLeftMs: number;
    /** Time left until the caller times out, in milliseconds. */
    callerTimeLeftMs: number;
    /** Time left until the caller's deadline, in milliseconds. It may return until then. */
    deadlineLeftMs: number;
    /** Whether the caller retries a request that was rejected before, or has received a part of the response. */
    isRetry: boolean;
}
