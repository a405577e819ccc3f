import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** The instance is suspected after this many consecutive failures without a first token of any request in between. */
const SUSPECT_FAILURE_COUNT = 3;

type FailedOutcome = Extract<BatchResult["outcome"], { kind: "failed" | "rejected"; }>;

/** Decides whether a failed attempt is blamed on the item or on the instance. */
export class FailureClassifier {
    private consecutiveFailures = 0;

    /** Records that the engine produced the first token of a request, or passed a probe. */
    engineResponded(): void {
        this.consecutiveFailures = 0;
    }

    /** Records a failed attempt. Called as soon as it fails. */
    attemptFailed(): void {
        this.consecutiveFailures += 1;
    }

    /** Whether enough consecutive attempts have failed that the instance itself may be at fault. */
    get isInstanceSuspect(): boolean {
        return this.consecutiveFailures >= SUSPECT_FAILURE_COUNT;
    }

    /**
     * Classifies the error of a failed attempt.
     *
     * @param isEngineReachable whether the engine reported its load after the failure
     */
    classify(error: KnapweedError, isEngineReachable: boolean): FailedOutcome {
        const { code, message, statusCode } = error;
        if (statusCode !== undefined && error.outcome === "answered") {
            return { kind: "rejected", statusCode, code, message };
        }
        if (error.outcome === "not-run") {
            return { kind: "failed", code, message, blame: "instance", mayHaveRun: false };
        }
        const isItemSuspect = isEngineReachable && !this.isInstanceSuspect;
        return { kind: "failed", code, message, blame: isItemSuspect ? "item" : "instance", mayHaveRun: true };
    }
}
