import type { ServerResponse } from "node:http";

/** Sends a JSON response, with status 200 by default. */
export function writeJson(
    response: ServerResponse,
    value: unknown,
    opts: { statusCode?: number; headers?: { [name: string]: string; }; } = {},
): void {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(opts.statusCode ?? 200, {
        "content-type": "application/json",
        "content-length": String(body.length),
        "x-knapweed-outcome": "answered",
        ...opts.headers,
    });
    response.end(body);
}
