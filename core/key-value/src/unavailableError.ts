import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns the error of a call that certainly had no effect: the service was unavailable or rejected it. */
export function unavailableError(message: string, cause?: unknown): KnapweedError {
    return new KnapweedError("KEY_VALUE_UNAVAILABLE", message, { outcome: "not-run", cause });
}
