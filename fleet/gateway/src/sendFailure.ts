import { breakOffResponse } from "@knapweedwood/core.http-connections/breakOffResponse";
import type { ServerResponse } from "node:http";

const MS_PER_SECOND = 1000;
const RETRY_AFTER_DIGITS = 3;

/**
 * Responds with a JSON error of this process. Closes the connection instead if a response has already been started.
 *
 * @param opts.retryAfterMs sent as the `retry-after` header, in seconds
 * @param opts.mustClose asks the caller to close its connection
 */
export function sendFailure(
    response: ServerResponse,
    opts: { statusCode: number; message: string; retryAfterMs?: number; mustClose?: boolean; },
): void {
    if (response.headersSent || response.destroyed) {
        breakOffResponse(response);
        return;
    }
    const body = JSON.stringify({ error: opts.message });
    if (opts.retryAfterMs !== undefined) {
        response.setHeader("retry-after", (opts.retryAfterMs / MS_PER_SECOND).toFixed(RETRY_AFTER_DIGITS));
    }
    if (opts.mustClose === true) {
        response.setHeader("connection", "close");
    }
    response.writeHead(opts.statusCode, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    });
    response.end(body);
}
