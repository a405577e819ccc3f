import type { IncomingMessage } from "node:http";
import { readBody } from "./readBody.js";

/** Reads the body of a request as JSON; an empty body as an empty object. */
export async function readJson<Value>(request: IncomingMessage): Promise<Value> {
    const body = await readBody(request);
    return JSON.parse(body.byteLength === 0 ? "{}" : body.toString()) as Value;
}
