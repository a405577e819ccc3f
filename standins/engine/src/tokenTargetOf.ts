import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";

const MIN_COMPLETION_TOKENS = 8;
const COMPLETION_RANGE_TOKENS = 56;
const LENGTH_SALT = 77;

/**
 * Returns the number of tokens that the stand-in engine generates: the limit in the request, or else a number that
 * depends only on the prompt.
 */
export function tokenTargetOf(body: JsonObject): { tokenCount: number; finishReason: "length" | "stop"; } {
    const limit = body.max_completion_tokens ?? body.max_tokens;
    if (typeof limit === "number") {
        return { tokenCount: limit, finishReason: "length" };
    }
    const tokenCount = MIN_COMPLETION_TOKENS + textHash(promptTextOf(body), LENGTH_SALT) % COMPLETION_RANGE_TOKENS;
    return { tokenCount, finishReason: "stop" };
}
