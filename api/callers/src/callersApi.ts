import { writeError } from "@knapweedwood/api.http/writeError";
import { writeJson } from "@knapweedwood/api.http/writeJson";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { IncomingMessage, ServerResponse } from "node:http";
import { authenticate } from "./authenticate.js";
import { BatchRoutes } from "./batchRoutes.js";
import type { CallersApiOptions } from "./callersApiOptions.js";
import { EmbeddingRoute } from "./embeddingRoute.js";
import { FileRoutes } from "./fileRoutes.js";
import { GenerateRoute } from "./generateRoute.js";
import { modelObjects } from "./modelObjects.js";
import { PlainRoute } from "./plainRoute.js";
import type { RequestContext } from "./requestContext.js";

/** Serves the callers' API: OpenAI-compatible paths under `/v1` and plain services under `/services/NAME/`. */
export class CallersApi {
    private readonly opts: CallersApiOptions;
    private readonly generateRoute: GenerateRoute;
    private readonly embeddingRoute: EmbeddingRoute;
    private readonly fileRoutes: FileRoutes;
    private readonly batchRoutes: BatchRoutes;
    private readonly plainRoute: PlainRoute;

    constructor(opts: CallersApiOptions) {
        this.opts = opts;
        this.generateRoute = new GenerateRoute(opts);
        this.embeddingRoute = new EmbeddingRoute(opts);
        this.fileRoutes = new FileRoutes(opts);
        this.batchRoutes = new BatchRoutes(opts);
        this.plainRoute = new PlainRoute(opts);
    }

    /** Handles a request. Every failure is sent as an error response in the API's format. */
    async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://localhost");
        const startedMs = this.opts.clock.nowMs();
        const span = this.opts.tracer.startSpan("entry.request", {
            parent: singleHeader(request, "traceparent"),
            attributes: { "http.method": request.method ?? "", "http.path": url.pathname },
        });
        const disconnect = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                disconnect.abort();
            }
        });
        try {
            const view = this.requireConfiguration();
            const caller = authenticate(request, view);
            span.setAttribute("knapweed.team", caller.team.teamId);
            await this.route({
                request,
                response,
                path: url.pathname,
                query: url.searchParams,
                caller,
                view,
                signal: disconnect.signal,
                span,
            });
            span.end();
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.recordFailure(error, span.traceParent, disconnect.signal.aborted);
            span.end(error);
            writeError(response, error);
        }
        this.opts.metrics.timing("request_ms", this.opts.clock.nowMs() - startedMs, {
            status: String(response.statusCode),
        });
    }

    private async route(context: RequestContext): Promise<void> {
        const { path, request, response, view, caller } = context;
        const method = request.method ?? "GET";
        if (method === "POST" && (path === "/v1/chat/completions" || path === "/v1/completions")) {
            return this.generateRoute.handle(context, path);
        }
        if (method === "POST" && path === "/v1/embeddings") {
            return this.embeddingRoute.handle(context);
        }
        if (method === "GET" && (path === "/v1/models" || path.startsWith("/v1/models/"))) {
            return writeJson(response, modelObjects(view, caller.team.teamId, path));
        }
        if (path === "/v1/files" || path.startsWith("/v1/files/")) {
            return this.fileRoutes.handle(context);
        }
        if (path === "/v1/batches" || path.startsWith("/v1/batches/")) {
            return this.batchRoutes.handle(context);
        }
        if (path.startsWith("/services/")) {
            return this.plainRoute.handle(context);
        }
        throw new KnapweedError("PATH_UNKNOWN", `There is no endpoint at ${method} ${path}`, {
            statusCode: 404,
            outcome: "not-run",
        });
    }

    private requireConfiguration() {
        const view = this.opts.configuration.current();
        if (view === undefined) {
            throw new KnapweedError("NOT_READY", "This instance has no configuration yet", {
                outcome: "not-run",
                retryAfterMs: 1000,
            });
        }
        return view;
    }

    private recordFailure(error: KnapweedError, traceParent: string, isCallerDisconnected: boolean): void {
        const reason = isCallerDisconnected ? "caller-gone" : error.code;
        this.opts.metrics.increment("request_failed", { reason });
        const fields = {
            code: error.code,
            outcome: error.outcome,
            message: error.message,
            traceParent,
            callerGone: isCallerDisconnected,
        };
        if (error.code === "ERR_KNAPWEED_INTERNAL") {
            this.opts.logger.error("request-failed", { ...fields, stack: (error.cause as Error | undefined)?.stack });
            return;
        }
        this.opts.logger.info("request-failed", fields);
    }
}

function singleHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
}
