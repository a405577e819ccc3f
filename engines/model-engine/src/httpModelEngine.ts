import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { createHttpConnector } from "@knapweedwood/core.http-connections/createHttpConnector";
import { type Dispatcher, Pool } from "undici";
import type { CacheEvent } from "./cacheEvent.js";
import { CompletionChunkReader } from "./completionChunkReader.js";
import { engineErrorOf } from "./engineErrorOf.js";
import type { EngineLoad } from "./engineLoad.js";
import type { EngineOrder } from "./engineOrder.js";
import { engineResponseErrorOf } from "./engineResponseErrorOf.js";
import type { EngineState } from "./engineState.js";
import type { GenerateEvent } from "./generateEvent.js";
import type { GenerateRequest } from "./generateRequest.js";
import type { JsonObject } from "./jsonObject.js";
import type { ModelEngine } from "./modelEngine.js";
import { ServerSentEventReader } from "./serverSentEventReader.js";

const CONNECT_TIMEOUT_MS = 2000;
const DEFAULT_HEADERS_TIMEOUT_MS = 60_000;
const DEFAULT_CHUNK_GAP_TIMEOUT_MS = 30_000;
const CONTROL_TIMEOUT_MS = 5000;
const KEEP_ALIVE_MS = 4000;
const CONFLICT = 409;

interface Call {
    method: "GET" | "POST";
    path: string;
    body?: JsonObject | Uint8Array;
    headers?: { [name: string]: string; };
    signal?: AbortSignal;
}

/** Client of a model engine with an OpenAI-compatible HTTP interface. */
export class HttpModelEngine implements ModelEngine {
    private readonly pathPrefix: string;
    private readonly pool: Pool;

    constructor(opts: {
        /** Such as `http://127.0.0.1:8000`. */
        baseUrl: string;
        /** Timeout for the headers of a response. */
        headersTimeoutMs?: number;
        /** Longest gap between chunks of a stream; after that the connection counts as lost. */
        chunkGapTimeoutMs?: number;
    }) {
        const { origin, pathname } = new URL(opts.baseUrl);
        this.pathPrefix = pathname.replace(/\/$/, "");
        this.pool = new Pool(origin, {
            connect: createHttpConnector({ timeoutMs: CONNECT_TIMEOUT_MS }),
            headersTimeout: opts.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
            bodyTimeout: opts.chunkGapTimeoutMs ?? DEFAULT_CHUNK_GAP_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_MS,
        });
    }

    async *generate(generateRequest: GenerateRequest, opts: { signal: AbortSignal; }): AsyncGenerator<GenerateEvent> {
        const response = await this.send({
            method: "POST",
            path: generateRequest.endpoint,
            body: streamingBodyOf(generateRequest),
            headers: generateRequest.requestId === undefined ? {} : { "x-request-id": generateRequest.requestId },
            signal: opts.signal,
        });
        let isComplete = false;
        try {
            yield* readGeneration(response.body.iterator({ destroyOnReturn: false }));
            isComplete = true;
        }
        catch (thrown) {
            throw engineErrorOf(thrown, opts.signal);
        }
        finally {
            release(response.body, isComplete);
        }
    }

    embed(body: JsonObject, opts: { signal: AbortSignal; }): Promise<JsonObject> {
        return this.sendForJson<JsonObject>({ method: "POST", path: "/v1/embeddings", body, signal: opts.signal });
    }

    /** Returns the names of the models that the engine serves, shape [models]. */
    async listModels(): Promise<string[]> {
        const list = await this.sendForJson<{ data: { id: string; }[]; }>(controlCall("GET", "/v1/models"));
        return list.data.map(model => model.id);
    }

    load(): Promise<EngineLoad> {
        return this.sendForJson<EngineLoad>(controlCall("GET", "/load"));
    }

    state(): Promise<EngineState> {
        return this.sendForJson<EngineState>(controlCall("GET", "/state"));
    }

    async order(order: EngineOrder): Promise<void> {
        try {
            await this.sendForJson({ ...controlCall("POST", "/orders"), body: { ...order } });
        }
        catch (thrown) {
            const error = engineErrorOf(thrown, undefined);
            throw error.statusCode === CONFLICT
                ? new KnapweedError("ENGINE_ORDER_STALE", error.message, { outcome: "not-run", cause: error })
                : error;
        }
    }

    async *cacheEvents(opts: { signal: AbortSignal; }): AsyncGenerator<CacheEvent> {
        const response = await this.send({ method: "GET", path: "/cache/events", signal: opts.signal });
        try {
            const reader = new ServerSentEventReader();
            for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
                yield* reader.read(bytes).map(data => JSON.parse(data) as CacheEvent);
            }
        }
        catch (thrown) {
            throw engineErrorOf(thrown, opts.signal);
        }
        finally {
            response.body.destroy();
        }
    }

    async exportCache(engineRequestId: string): Promise<Uint8Array> {
        const response = await this.send({
            ...controlCall("POST", "/cache/export"),
            body: { requestId: engineRequestId },
        });
        try {
            return new Uint8Array(await response.body.arrayBuffer());
        }
        catch (thrown) {
            throw engineErrorOf(thrown, undefined);
        }
    }

    async importCache(cache: Uint8Array): Promise<void> {
        await this.sendForJson({ ...controlCall("POST", "/cache/import"), body: cache });
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private async sendForJson<Result>(call: Call): Promise<Result> {
        const response = await this.send(call);
        try {
            return await response.body.json() as Result;
        }
        catch (thrown) {
            throw engineErrorOf(thrown, call.signal);
        }
    }

    private async send(call: Call): Promise<Dispatcher.ResponseData> {
        const response = await this.exchange(call);
        if (response.statusCode < 300) {
            return response;
        }
        const retryAfter = response.headers["retry-after"];
        throw engineResponseErrorOf({
            statusCode: response.statusCode,
            retryAfter: typeof retryAfter === "string" ? retryAfter : undefined,
            body: await response.body.text().catch(() => ""),
        });
    }

    private async exchange(call: Call): Promise<Dispatcher.ResponseData> {
        const isBinary = call.body instanceof Uint8Array;
        try {
            return await this.pool.request({
                path: `${this.pathPrefix}${call.path}`,
                method: call.method,
                headers: {
                    "content-type": isBinary ? "application/octet-stream" : "application/json",
                    ...call.headers,
                },
                body: isBinary ? call.body as Uint8Array : call.body && JSON.stringify(call.body),
                signal: call.signal,
            });
        }
        catch (thrown) {
            throw engineErrorOf(thrown, call.signal);
        }
    }
}

function controlCall(method: "GET" | "POST", path: string): Call {
    return { method, path, signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS) };
}

function streamingBodyOf(generateRequest: GenerateRequest): JsonObject {
    const body = { ...generateRequest.body, stream: true, stream_options: { include_usage: true } };
    const resume = generateRequest.resumeFrom;
    return resume === undefined || resume.tokenCount === 0
        ? body
        : { ...body, knapweed_resume: { text: resume.text, tokenCount: resume.tokenCount } };
}

/** Keeps the connection if the response was read to its end marker; otherwise closes it. */
function release(body: Dispatcher.ResponseData["body"], isComplete: boolean): void {
    if (isComplete) {
        body.dump().catch(() => undefined);
        return;
    }
    body.destroy();
}

async function* readGeneration(body: AsyncIterable<Uint8Array>): AsyncGenerator<GenerateEvent> {
    const events = new ServerSentEventReader();
    const reader = new CompletionChunkReader();
    for await (const bytes of body) {
        for (const data of events.read(bytes)) {
            for (const event of reader.read(data)) {
                yield event;
            }
            if (reader.isEnded) {
                return;
            }
        }
    }
    throw new KnapweedError("ENGINE_STREAM_CUT", "The engine's stream ended before its end marker", {
        outcome: "unknown",
        statusCode: 502,
    });
}
