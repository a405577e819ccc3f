import type { IncomingMessage } from "node:http";
import { readBody } from "./readBody.js";

/**
 * Reads the body of a request as JSON. An empty body yields an empty object. Rejects with `BODY_TOO_LARGE` if the body
 * has more than 64 MB, or with a `SyntaxError` if it isn't JSON.
 */
export async function readJson<Value>(request: IncomingMessage): Promise<Value> {
    const body = await readBody(request);
    return JSON.parse(body.byteLength === 0 ? "{}" : body.toString()) as Value;
}
