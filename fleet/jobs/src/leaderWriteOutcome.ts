/**
 * Outcome of the leader's write of a job. With `over-limit` and `not-run` nothing was written; with `unknown` the job may
 * have been written.
 */
export type LeaderWriteOutcome = "stored" | "over-limit" | "not-run" | "unknown";
