import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_COMPLETION_TOKENS = 256;

/**
 * Returns an estimate of the tokens that a request uses, prompt and completion together. If the request does not limit
 * its completion, the default number of completion tokens is assumed.
 */
export function estimateTokens(body: JsonObject): number {
    const prompt = JSON.stringify(body["messages"] ?? body["prompt"] ?? body["input"] ?? "");
    const limit = body["max_completion_tokens"] ?? body["max_tokens"];
    const completionTokens = typeof limit === "number" ? limit : DEFAULT_COMPLETION_TOKENS;
    return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) + completionTokens;
}
