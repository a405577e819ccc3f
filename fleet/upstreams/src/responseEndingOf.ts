import type { IncomingHttpHeaders } from "node:http";
import type { ResponseEnding } from "./responseEnding.js";

const STATUS_CODES_WITHOUT_BODY = [204, 304];

/** Returns what will show that a response has ended (RFC 9112, section 6.3). */
export function responseEndingOf(method: string, statusCode: number, headers: IncomingHttpHeaders): ResponseEnding {
    if (method === "HEAD" || STATUS_CODES_WITHOUT_BODY.includes(statusCode)) {
        return "length";
    }
    const encodings = headers["transfer-encoding"];
    if (encodings !== undefined) {
        return encodings.trim().toLowerCase().endsWith("chunked") ? "last-chunk" : "close";
    }
    return headers["content-length"] === undefined ? "close" : "length";
}
