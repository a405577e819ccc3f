import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** So many failures in a row, with no other request begun between, speak against the instance. */
const SUSPECT_FAILURE_COUNT = 3;

type FailedOutcome = Extract<BatchResult["outcome"], { kind: "failed" | "rejected"; }>;

/** Judges whether a failed attempt speaks against the item or against the instance. */
export class FailureClassifier {
    private consecutiveFailures = 0;

    /** Notes that the engine gave a request its first token. */
    requestStarted(): void {
        this.consecutiveFailures = 0;
    }

    /** Notes that an attempt failed, as soon as it does. */
    attemptFailed(): void {
        this.consecutiveFailures += 1;
    }

    /** Whether so many attempts have failed in a row that the instance itself may be at fault. */
    get isInstanceSuspect(): boolean {
        return this.consecutiveFailures >= SUSPECT_FAILURE_COUNT;
    }

    /** @param isEngineReachable what a probe since the failure has found */
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
