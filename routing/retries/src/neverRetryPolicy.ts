import type { RetryDecision } from "./retryDecision.js";
import type { RetryPolicy } from "./retryPolicy.js";

/** Makes each attempt once: the baseline. */
export class NeverRetryPolicy implements RetryPolicy {
    decide(): RetryDecision {
        return { kind: "give-up", reason: "attempts" };
    }
}
