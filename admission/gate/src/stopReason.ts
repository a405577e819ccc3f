/** Reason for cancelling the stream of a batch item. */
export type StopReason = "preempted" | "cancelled" | "leaving";
