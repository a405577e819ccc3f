import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { breakOffResponse } from "@knapweedwood/core.http-connections/breakOffResponse";
import type { ServerResponse } from "node:http";
import { errorBody } from "./errorBody.js";
import { statusCodeOf } from "./statusCodeOf.js";

const MS_PER_SECOND = 1000;

/**
 * Sends an error response. If the headers have already been sent, the connection is closed instead. The header
 * `x-should-retry: false` keeps clients from automatically retrying a call whose outcome is unknown.
 */
export function writeError(response: ServerResponse, thrown: unknown): void {
    const error = toKnapweedError(thrown);
    if (response.headersSent) {
        breakOffResponse(response);
        return;
    }
    const body = Buffer.from(JSON.stringify(errorBody(error)));
    const outcome = error.outcome ?? "answered";
    response.writeHead(statusCodeOf(error), {
        "content-type": "application/json",
        "content-length": String(body.length),
        "x-knapweed-outcome": outcome,
        ...(outcome === "unknown" ? { "x-should-retry": "false" } : {}),
        ...(error.retryAfterMs === undefined
            ? {}
            : {
                "retry-after": String(Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_SECOND))),
                "retry-after-ms": String(Math.ceil(error.retryAfterMs)),
            }),
    });
    response.end(body);
}
