import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** The answer that an upstream gives to a body: a function of it, so that a swapped answer is seen. */
export function upstreamResponse(body: JsonObject): JsonObject {
    return { echo: JSON.stringify(body) };
}
