import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** The HTTP status of an error: its own, 503 for what was not run, 502 for an unknown outcome, else 500. */
export function statusCodeOf(error: KnapweedError): number {
    if (error.statusCode !== undefined) {
        return error.statusCode;
    }
    if (error.outcome === "not-run") {
        return 503;
    }
    return error.outcome === "unknown" ? 502 : 500;
}
