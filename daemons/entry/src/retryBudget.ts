import type { RetryGate } from "./retryGate.js";

const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED_RETRIES = 20;

/** Allows a retry for every ten requests, and a few more after a quiet time. */
export class RetryBudget implements RetryGate {
    private saved = MAX_SAVED_RETRIES;

    onRequest(): void {
        this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_REQUEST);
    }

    tryRetry(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
