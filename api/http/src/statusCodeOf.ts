import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/**
 * Returns the HTTP status of an error. Without a status of its own, it is 503 if the request was not run, 502 if the
 * outcome is unknown, and 500 otherwise.
 */
export function statusCodeOf(error: KnapweedError): number {
    if (error.statusCode !== undefined) {
        return error.statusCode;
    }
    if (error.outcome === "not-run") {
        return 503;
    }
    return error.outcome === "unknown" ? 502 : 500;
}
