import type { RetryDecision } from "./retryDecision.js";
import type { RetryPolicy } from "./retryPolicy.js";

/** Never retries. Baseline for comparisons. */
export class NeverRetryPolicy implements RetryPolicy {
    decide(): RetryDecision {
        return { kind: "give-up", reason: "attempts" };
    }
}
