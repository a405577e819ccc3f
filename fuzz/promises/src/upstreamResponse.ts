import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** Returns the upstream's response to a request body. It depends on the body only, so that swapped responses show. */
export function upstreamResponse(body: JsonObject): JsonObject {
    return { echo: JSON.stringify(body) };
}
