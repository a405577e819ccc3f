import type { ServerResponse } from "node:http";

/** Answers with a JSON value. */
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
