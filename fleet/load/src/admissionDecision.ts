/** Decision to let a request wait for a slot or to reject it without running it. Times are in milliseconds. */
export type AdmissionDecision =
    | { kind: "wait"; expectedWaitMs: number; }
    | { kind: "reject"; expectedWaitMs: number; retryAfterMs: number; };
