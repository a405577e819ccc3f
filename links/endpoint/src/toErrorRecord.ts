import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { ErrorRecord } from "./errorRecord.js";

/** Turns a thrown value into what crosses the link. A failure without an outcome is `unknown`. */
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
