import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";

/** Runs batch items that are not generations, such as calls to a plain service. */
export interface BatchItemRunner {
    run(item: BatchItem, opts: { signal: AbortSignal; }): Promise<{ statusCode: number; body: JsonObject; }>;
}
