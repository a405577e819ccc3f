/**
 * What came of holding a job on a disk: `over-limit` and `not-held` say that no copy was made, `unknown` that one may
 * have been.
 */
export type HoldOutcome = "held" | "over-limit" | "not-held" | "unknown";
