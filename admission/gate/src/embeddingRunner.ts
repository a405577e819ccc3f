import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { BatchItemRunner } from "./batchItemRunner.js";

const OK = 200;
const NOT_FOUND = 404;

/** Runs embedding items on a model engine. Throws `ENDPOINT_UNKNOWN` for items of other endpoints. */
export class EmbeddingRunner implements BatchItemRunner {
    private readonly engine: ModelEngine;

    constructor(opts: { engine: ModelEngine; }) {
        this.engine = opts.engine;
    }

    async run(item: BatchItem, opts: { signal: AbortSignal; }): Promise<{ statusCode: number; body: JsonObject; }> {
        if (item.endpoint !== "/v1/embeddings") {
            throw new KnapweedError("ENDPOINT_UNKNOWN", `The model engine does not support ${item.endpoint}`, {
                outcome: "answered",
                statusCode: NOT_FOUND,
            });
        }
        return { statusCode: OK, body: await this.engine.embed(item.body, opts) };
    }
}
