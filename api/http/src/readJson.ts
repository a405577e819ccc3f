import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { IncomingMessage } from "node:http";
import { readBody } from "./readBody.js";

/**
 * Reads a request's body as a JSON object. Rejects with `BODY_NOT_JSON` (400) if it is anything else, or with an error
 * of `readBody`.
 */
export async function readJson(request: IncomingMessage, maxBytes: number): Promise<{ [field: string]: unknown; }> {
    const body = await readBody(request, maxBytes);
    const parsed = parse(body.toString("utf8"));
    if (typeof parsed !== "object" || parsed === null || Array.isArray(parsed)) {
        throw notJson();
    }
    return parsed as { [field: string]: unknown; };
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (cause) {
        throw notJson(cause);
    }
}

function notJson(cause?: unknown): KnapweedError {
    return new KnapweedError("BODY_NOT_JSON", "The request's body is not a JSON object", {
        statusCode: 400,
        outcome: "not-run",
        cause,
    });
}
