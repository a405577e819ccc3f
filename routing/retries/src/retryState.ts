import type { Outcome } from "@knapweedwood/core.errors/outcome";

/** A failed attempt, as the decision to try again sees it. */
export interface RetryState {
    /** Attempts made so far, the failed one among them. */
    attempt: number;
    /** What became of the failed attempt. */
    outcome: Outcome;
    /** Status that the failed attempt was answered with, if any. */
    statusCode?: number | undefined;
    /** Whether the call may run a second time. */
    repeatable: boolean;
    /** Pause that the other end asked for, in milliseconds; undefined where the next attempt goes elsewhere. */
    retryAfterMs?: number | undefined;
    /** When the call is due, in milliseconds. */
    deadlineMs?: number | undefined;
    nowMs: number;
}
