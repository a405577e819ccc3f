import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns the error of a call that had no effect, and that the service rejects each time it is made. */
export function invalidCallError(message: string, cause?: unknown): KnapweedError {
    return new KnapweedError("KEY_VALUE_INVALID", message, {
        outcome: "not-run",
        hint: "Change the call: the service rejects it again when it is repeated.",
        cause,
    });
}
