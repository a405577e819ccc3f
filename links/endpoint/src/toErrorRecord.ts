import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { ErrorRecord } from "./errorRecord.js";

/** Converts a thrown value to the record that is sent over a link. An error without an outcome gets `unknown`. */
export function toErrorRecord(thrown: unknown): ErrorRecord {
    const error = toKnapweedError(thrown, "HANDLER_FAILED");
    return {
        code: error.code,
        message: error.message,
        hint: error.hint,
        outcome: error.outcome ?? "unknown",
        statusCode: error.statusCode,
        retryAfterMs: error.retryAfterMs,
        parameter: error.parameter,
    };
}
