import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { countTokens } from "./countTokens.js";

const DIMENSIONS = 8;
const HASH_RANGE = 0x1_0000_0000;

/**
 * Returns the response to an embeddings request. Each vector has 8 values in [-1, 1) and depends only on its input.
 */
export function embeddingsOf(body: JsonObject): JsonObject {
    const inputs = (Array.isArray(body.input) ? body.input : [body.input]).map(String);
    const promptTokens = inputs.reduce((sum, input) => sum + countTokens(input), 0);
    return {
        object: "list",
        model: body.model,
        data: inputs.map((input, index) => ({ object: "embedding", index, embedding: vectorOf(input) })),
        usage: { prompt_tokens: promptTokens, total_tokens: promptTokens },
    };
}

function vectorOf(input: string): number[] {
    return Array.from({ length: DIMENSIONS }, (_, dimension) => textHash(input, dimension + 1) / HASH_RANGE * 2 - 1);
}
