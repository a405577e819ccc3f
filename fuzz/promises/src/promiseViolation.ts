import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** The error for a promise that was broken. */
export function promiseViolation(promise: string, details: unknown): KnapweedError {
    return new KnapweedError("PROMISE_BROKEN", `${promise}: ${JSON.stringify(details)}`);
}
