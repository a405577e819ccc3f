import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

/**
 * Reads a plain service's response to a batch item and returns the item's outcome: completed, rejected for a status of
 * 400 to 499, or failed for a status of 500 and above or a call that failed. Never throws.
 */
export async function plainItemOutcome(frames: AsyncIterable<PlainFrame>): Promise<BatchResult["outcome"]> {
    let statusCode = 0;
    const parts: Uint8Array[] = [];
    try {
        for await (const frame of frames) {
            if (frame.kind === "head") {
                statusCode = frame.statusCode;
            }
            else {
                parts.push(frame.bytes);
            }
        }
    }
    catch (thrown) {
        const { code, message, outcome } = toKnapweedError(thrown);
        return { kind: "failed", code, message, blame: "instance", mayHaveRun: outcome !== "not-run" };
    }
    return outcomeOf(statusCode, Buffer.concat(parts).toString("utf8"));
}

function outcomeOf(statusCode: number, text: string): BatchResult["outcome"] {
    if (statusCode >= FIRST_SERVER_ERROR) {
        const message = `The service responded with status ${statusCode}`;
        return { kind: "failed", code: "ERR_KNAPWEED_UPSTREAM_FAILED", message, blame: "item", mayHaveRun: true };
    }
    if (statusCode >= FIRST_CLIENT_ERROR) {
        return { kind: "rejected", statusCode, code: "ERR_KNAPWEED_UPSTREAM_REFUSED", message: text };
    }
    return { kind: "completed", statusCode, body: parseBody(text) };
}

function parseBody(text: string): JsonObject {
    try {
        const parsed: unknown = JSON.parse(text);
        return typeof parsed === "object" && parsed !== null ? parsed as JsonObject : { value: parsed };
    }
    catch {
        return { text };
    }
}
