import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { statusCodeOf } from "./statusCodeOf.js";

/** Returns the body of an error response in the format of the OpenAI API. */
export function errorBody(error: KnapweedError): object {
    return {
        error: {
            message: error.hint === undefined ? error.message : `${error.message}. ${error.hint}`,
            type: typeOf(statusCodeOf(error)),
            param: error.parameter ?? null,
            code: error.code,
        },
    };
}

function typeOf(statusCode: number): string {
    switch (statusCode) {
        case 401:
            return "authentication_error";
        case 403:
            return "permission_error";
        case 404:
            return "not_found_error";
        case 409:
            return "conflict_error";
        case 429:
            return "rate_limit_error";
        default:
            return statusCode < 500 ? "invalid_request_error" : "server_error";
    }
}
