import type { IncomingHttpHeaders } from "node:http";

/** How the end of a response is recognized: by its length, its last chunk, or the end of its connection. */
export type ResponseFraming = "length" | "last-chunk" | "connection";

const BODILESS_STATUS_CODES = [204, 304];

/** Returns the framing of a response (RFC 9112, section 6.3). */
export function responseFraming(method: string, statusCode: number, headers: IncomingHttpHeaders): ResponseFraming {
    if (method === "HEAD" || BODILESS_STATUS_CODES.includes(statusCode)) {
        return "length";
    }
    const encodings = headers["transfer-encoding"];
    if (encodings !== undefined) {
        return encodings.trim().toLowerCase().endsWith("chunked") ? "last-chunk" : "connection";
    }
    return headers["content-length"] === undefined ? "connection" : "length";
}
