/**
 * Outcome of holding a job on disk. With `over-limit` and `not-held` no copy was made; with `unknown` a copy may have
 * been made.
 */
export type HoldOutcome = "held" | "over-limit" | "not-held" | "unknown";
