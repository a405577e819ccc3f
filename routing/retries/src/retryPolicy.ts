import type { RetryDecision } from "./retryDecision.js";
import type { RetryState } from "./retryState.js";

/** Decides whether a failed attempt is made again. */
export interface RetryPolicy {
    decide(state: RetryState): RetryDecision;
}
