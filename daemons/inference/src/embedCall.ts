import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Computes embeddings at a side's upstream. The response is a single frame. */
export const embedCall = defineCall<{ service: ServiceName; body: JsonObject; }, { body: JsonObject; }>(
    "inference.embed",
);
