import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { EngineOrder } from "@knapweedwood/engines.model-engine/engineOrder";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { CacheEventFeed } from "./cacheEventFeed.js";
import { CompletionHandler } from "./completionHandler.js";
import { defaultStepModel } from "./defaultStepModel.js";
import { embeddingsOf } from "./embeddingsOf.js";
import { EngineCore } from "./engineCore.js";
import type { EngineFaults } from "./engineFaults.js";
import type { EngineServerOptions } from "./engineServerOptions.js";
import { LoadedModels } from "./loadedModels.js";
import { readBody } from "./readBody.js";
import { RequestCounter } from "./requestCounter.js";
import { sendError } from "./sendError.js";
import { sendJson } from "./sendJson.js";
import { SilentConnections } from "./silentConnections.js";

const DEFAULT_CACHE_EVENT_DELAY_MS = 300;
const DEFAULT_CACHE_EVENT_LOSS_SHARE = 0.05;
const KEEP_ALIVE_MS = 30_000;

type Exchange = { request: IncomingMessage; response: ServerResponse; };
type Route = (body: Buffer, exchange: Exchange) => void;

/** A stand-in model engine: an OpenAI-compatible HTTP server with a model of step durations and with faults. */
export class EngineServer {
    readonly core: EngineCore;
    private readonly server: Server;
    private readonly connections = new SilentConnections();
    private readonly requestCounter = new RequestCounter();
    private readonly faults: EngineFaults = { slowFactor: 1, errorShare: 0, silentConnections: false, freeze: false };
    private readonly models: LoadedModels;
    private readonly events: CacheEventFeed;
    private readonly completions: CompletionHandler;
    private readonly routes: { [route: string]: Route; };

    constructor(opts: EngineServerOptions) {
        const random = new SeededRandom(opts.seed);
        this.models = new LoadedModels(opts);
        this.events = new CacheEventFeed({
            clock: opts.clock,
            random,
            delayMs: opts.cacheEventDelayMs ?? DEFAULT_CACHE_EVENT_DELAY_MS,
            lossShare: opts.cacheEventLossShare ?? DEFAULT_CACHE_EVENT_LOSS_SHARE,
        });
        this.core = new EngineCore({
            clock: opts.clock,
            stepModel: { ...defaultStepModel, ...opts.stepModel },
            onCacheChange: (kind, blockHashes) => this.events.publish(kind, blockHashes),
        });
        this.completions = new CompletionHandler({
            clock: opts.clock,
            random,
            core: this.core,
            requestCounter: this.requestCounter,
            faults: this.faults,
            readyNames: () => this.models.readyNames(),
        });
        this.routes = this.createRoutes();
        this.server = createServer((request, response) => void this.handle({ request, response }));
        this.server.keepAliveTimeout = KEEP_ALIVE_MS;
        this.server.on("connection", (socket: Socket) => {
            socket.setNoDelay(true);
            this.connections.add(socket);
        });
    }

    /**
     * Starts to listen. Rejects if the address can't be bound.
     *
     * @returns the port
     */
    listen(opts: { host: string; port: number; }): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(opts.port, opts.host, () => resolve((this.server.address() as AddressInfo).port));
        });
    }

    /** Stops the server and destroys its connections. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.connections.destroyAll();
        });
    }

    /** Sets faults, as `POST /faults` does. */
    applyFaults(faults: Partial<EngineFaults>): void {
        Object.assign(this.faults, faults);
        this.core.slowFactor = this.faults.slowFactor;
        this.core.setFrozen(this.faults.freeze);
        if (this.faults.silentConnections) {
            this.connections.silenceOpen();
        }
    }

    private createRoutes(): { [route: string]: Route; } {
        return {
            "POST /v1/chat/completions": (body, exchange) =>
                this.completions.handle("/v1/chat/completions", parse(body), exchange),
            "POST /v1/completions": (body, exchange) =>
                this.completions.handle("/v1/completions", parse(body), exchange),
            "POST /v1/embeddings": (body, { response }) => sendJson(response, 200, embeddingsOf(parse(body))),
            "GET /v1/models": (_body, { response }) => sendJson(response, 200, this.modelList()),
            "GET /load": (_body, { response }) => sendJson(response, 200, this.core.reportedLoad()),
            "GET /state": (_body, { response }) => sendJson(response, 200, this.models.state()),
            "POST /orders": (body, { response }) => this.handleOrder(parse(body), response),
            "GET /cache/events": (_body, { response }) => this.streamCacheEvents(response),
            "POST /cache/export": (body, { response }) => this.exportCache(parse(body), response),
            "POST /cache/import": (body, { response }) => this.importCache(body, response),
            "POST /faults": (body, { response }) => {
                this.applyFaults(parse(body));
                sendJson(response, 200, this.faults);
            },
            "GET /__record": (_body, { response }) => sendJson(response, 200, this.requestCounter.toJson()),
            "GET /__totals": (_body, { response }) => sendJson(response, 200, this.core.totals),
        };
    }

    private async handle(exchange: Exchange): Promise<void> {
        const { request, response } = exchange;
        if (this.connections.isSilent(request.socket)) {
            return;
        }
        const path = (request.url ?? "/").split("?")[0];
        const route = this.routes[`${request.method} ${path}`];
        if (route === undefined) {
            sendError(response, 404, "not_found", `No such path: ${path}`);
            return;
        }
        try {
            route(await readBody(request), exchange);
        }
        catch (thrown) {
            sendError(response, 400, "invalid_body", thrown instanceof Error ? thrown.message : "Malformed body");
        }
    }

    private modelList(): object {
        return {
            object: "list",
            data: this.models.readyNames().map(id => ({ id, object: "model", created: 0, owned_by: "standin" })),
        };
    }

    private handleOrder(order: JsonObject, response: ServerResponse): void {
        if (this.models.accept(order as unknown as EngineOrder)) {
            sendJson(response, 200, { accepted: true });
            return;
        }
        sendError(response, 409, "stale_fencing_number", "An earlier order had a higher fencing number");
    }

    private streamCacheEvents(response: ServerResponse): void {
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.flushHeaders();
        response.on(
            "close",
            this.events.subscribe(event => response.write(`data: ${JSON.stringify(event)}\n\n`)),
        );
    }

    private exportCache(body: JsonObject, response: ServerResponse): void {
        const text = this.completions.coveredText(String(body.requestId));
        if (text === undefined) {
            sendError(response, 404, "unknown_request", "The request is not known");
            return;
        }
        response.writeHead(200, { "content-type": "application/octet-stream" });
        response.end(Buffer.from(JSON.stringify({ text })));
    }

    private importCache(body: Buffer, response: ServerResponse): void {
        this.core.prefixCache.store(String(parse(body).text));
        sendJson(response, 200, { imported: true });
    }
}

function parse(body: Buffer): JsonObject {
    return JSON.parse(body.toString("utf8")) as JsonObject;
}
