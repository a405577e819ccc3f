import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns the error `ROLE_FORBIDDEN` (403) for a request that the caller's role does not allow. */
export function forbidden(message: string): KnapweedError {
    return new KnapweedError("ROLE_FORBIDDEN", message, { statusCode: 403, outcome: "not-run" });
}
