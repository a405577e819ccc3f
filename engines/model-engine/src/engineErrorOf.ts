import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Codes of errors that occur before a request is sent. */
const CONNECT_ERROR_CODES = [
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
];

/**
 * Converts an error thrown during a call to an engine to a KnapweedError; a KnapweedError is returned unchanged. The
 * outcome is `not-run` if the request was not sent, `unknown` otherwise.
 */
export function engineErrorOf(thrown: unknown, signal: AbortSignal | undefined): KnapweedError {
    if (thrown instanceof KnapweedError) {
        return thrown;
    }
    if (signal?.aborted === true) {
        return new KnapweedError("CANCELLED", "The request was cancelled", { outcome: "unknown", cause: thrown });
    }
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    if (CONNECT_ERROR_CODES.includes(errorCodeOf(thrown))) {
        return new KnapweedError("ENGINE_UNREACHABLE", `The engine can't be reached: ${message}`, {
            outcome: "not-run",
            statusCode: 503,
            cause: thrown,
        });
    }
    return new KnapweedError("ENGINE_CONNECTION_LOST", `The connection to the engine was lost: ${message}`, {
        outcome: "unknown",
        statusCode: 502,
        cause: thrown,
    });
}

function errorCodeOf(thrown: unknown): string {
    return thrown instanceof Error && "code" in thrown ? String(thrown.code) : "";
}
