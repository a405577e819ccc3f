/** Outcome of a job submission. */
export type Acceptance =
    | { kind: "accepted"; revision: number; }
    /** No copy of the job was stored. */
    | { kind: "refused"; reason: "over-limit" | "store-away"; retryAfterMs: number; }
    /** The job may have been stored. */
    | { kind: "unknown"; };
