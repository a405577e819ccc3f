/** Whether a request waits for a slot or is refused as not run. */
export type AdmissionDecision =
    | { kind: "wait"; expectedWaitMs: number; }
    | { kind: "reject"; expectedWaitMs: number; retryAfterMs: number; };
