import type { ServerResponse } from "node:http";

/** Sends a complete response with a JSON body. */
export function sendJson(response: ServerResponse, statusCode: number, value: unknown): void {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(statusCode, { "content-type": "application/json", "content-length": body.byteLength });
    response.end(body);
}
