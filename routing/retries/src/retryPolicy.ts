import type { RetryDecision } from "./retryDecision.js";
import type { RetryState } from "./retryState.js";

/** Decides whether to retry a failed attempt. */
export interface RetryPolicy {
    decide(state: RetryState): RetryDecision;
}
