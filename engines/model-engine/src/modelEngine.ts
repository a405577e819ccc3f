import type { CacheEvent } from "./cacheEvent.js";
import type { EngineLoad } from "./engineLoad.js";
import type { EngineOrder } from "./engineOrder.js";
import type { EngineState } from "./engineState.js";
import type { GenerateEvent } from "./generateEvent.js";
import type { GenerateRequest } from "./generateRequest.js";
import type { JsonObject } from "./jsonObject.js";

/**
 * A model engine. Errors are KnapweedErrors: outcome `not-run` where the engine provably did not begin
 * (connection refused, or a refusal by status 429 or 503), `unknown` otherwise; `ENGINE_REFUSED` with the engine's status code for
 * requests that it rejects.
 */
export interface ModelEngine {
    /** Generates until finished; aborting the signal cancels the work at the engine. */
    generate(request: GenerateRequest, opts: { signal: AbortSignal; }): AsyncIterable<GenerateEvent>;
    /** Embeddings, as the OpenAI-compatible endpoint answers. */
    embed(body: JsonObject, opts: { signal: AbortSignal; }): Promise<JsonObject>;
    load(): Promise<EngineLoad>;
    state(): Promise<EngineState>;
    /** Throws `ENGINE_ORDER_STALE` where the engine checks fencing numbers and has seen a higher one. */
    order(order: EngineOrder): Promise<void>;
    cacheEvents(opts: { signal: AbortSignal; }): AsyncIterable<CacheEvent>;
    /** Exports the KV cache of a running or just cancelled request, named by the engine's request id. */
    exportCache(engineRequestId: string): Promise<Uint8Array>;
    importCache(cache: Uint8Array): Promise<void>;
}
