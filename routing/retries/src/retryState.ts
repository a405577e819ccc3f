import type { Outcome } from "@knapweedwood/core.errors/outcome";

/** A failed attempt, as input of the retry decision. */
export interface RetryState {
    /** Number of attempts so far, including the failed one. */
    attempt: number;
    /** Outcome of the failed attempt. */
    outcome: Outcome;
    /** HTTP status of the failed attempt, if there was a response. */
    statusCode?: number | undefined;
    /** Whether the call may run more than once. */
    repeatable: boolean;
    /** Delay requested by the peer, in milliseconds; undefined if the next attempt goes to another peer. */
    retryAfterMs?: number | undefined;
    /** Deadline of the call, in milliseconds. */
    deadlineMs?: number | undefined;
    nowMs: number;
}
