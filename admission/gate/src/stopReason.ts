/** Why the stream of a batch item was cancelled. */
export type StopReason = "preempted" | "cancelled" | "leaving";
