import type { CacheEvent } from "./cacheEvent.js";
import type { EngineLoad } from "./engineLoad.js";
import type { EngineOrder } from "./engineOrder.js";
import type { EngineState } from "./engineState.js";
import type { GenerateEvent } from "./generateEvent.js";
import type { GenerateRequest } from "./generateRequest.js";
import type { JsonObject } from "./jsonObject.js";

/**
 * A model engine. Methods reject with KnapweedErrors. The outcome is `not-run` if the engine certainly did not start
 * the request (the connection failed, or the status is 429 or 503), `unknown` otherwise. Requests that the engine
 * rejects with another status below 500 fail with `ENGINE_REFUSED`, the engine's status code and outcome `answered`.
 */
export interface ModelEngine {
    /** Generates until the engine finishes; aborting the signal cancels the request at the engine. */
    generate(request: GenerateRequest, opts: { signal: AbortSignal; }): AsyncIterable<GenerateEvent>;
    /** Returns the response body of the OpenAI-compatible embeddings endpoint. */
    embed(body: JsonObject, opts: { signal: AbortSignal; }): Promise<JsonObject>;
    load(): Promise<EngineLoad>;
    state(): Promise<EngineState>;
    /** Rejects with `ENGINE_ORDER_STALE` if the engine checks fencing numbers and has received a higher one. */
    order(order: EngineOrder): Promise<void>;
    /** Yields changes of the prefix cache until the engine ends the stream or the signal is aborted. */
    cacheEvents(opts: { signal: AbortSignal; }): AsyncIterable<CacheEvent>;
    /** Exports the KV cache of a running or just cancelled request, selected by its `requestId` at the engine. */
    exportCache(engineRequestId: string): Promise<Uint8Array>;
    /** Imports a KV cache that `exportCache` returned. */
    importCache(cache: Uint8Array): Promise<void>;
}
