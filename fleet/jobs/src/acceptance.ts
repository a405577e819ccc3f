/** What became of a submission. */
export type Acceptance =
    | { kind: "accepted"; revision: number; }
    /** Nothing of the job was kept. */
    | { kind: "refused"; reason: "over-limit" | "store-away"; retryAfterMs: number; }
    /** It may have been kept. */
    | { kind: "unknown"; };
