import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns the error for a broken promise, `PROMISE_BROKEN`, with `details` as JSON in its message. */
export function promiseViolation(promise: string, details: unknown): KnapweedError {
    return new KnapweedError("PROMISE_BROKEN", `${promise}: ${JSON.stringify(details)}`);
}
