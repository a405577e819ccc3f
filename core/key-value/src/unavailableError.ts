import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** The error of a call that provably had no effect, because the service is away or refused it. */
export function unavailableError(message: string, cause?: unknown): KnapweedError {
    return new KnapweedError("KEY_VALUE_UNAVAILABLE", message, { outcome: "not-run", cause });
}
