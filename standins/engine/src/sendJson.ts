import type { ServerResponse } from "node:http";

/** Sends a response with a JSON body. */
export function sendJson(response: ServerResponse, statusCode: number, body: object): void {
    response.writeHead(statusCode, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}
