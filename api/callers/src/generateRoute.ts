import { errorBody } from "@knapweedwood/api.http/errorBody";
import { readJson } from "@knapweedwood/api.http/readJson";
import { writeJson } from "@knapweedwood/api.http/writeJson";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { CompletionAssembler } from "@knapweedwood/engines.model-engine/completionAssembler";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { randomUUID } from "node:crypto";
import type { CallersApiOptions } from "./callersApiOptions.js";
import type { CallUsage } from "./callUsage.js";
import { checkGenerateBody } from "./checkGenerateBody.js";
import { estimateTokens } from "./estimateTokens.js";
import { idempotentJsonCall } from "./idempotentJsonCall.js";
import type { RequestContext } from "./requestContext.js";
import { ServerSentEvents } from "./serverSentEvents.js";
import { serviceForModel } from "./serviceForModel.js";

/** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
export class GenerateRoute {
    private readonly opts: CallersApiOptions;

    constructor(opts: CallersApiOptions) {
        this.opts = opts;
    }

    /**
     * Sends the completion, as server-sent events if the body has `stream: true`. Rejects only before the response has
     * begun; a later failure is sent as the last event of the stream.
     */
    async handle(context: RequestContext, endpoint: GenerateRequest["endpoint"]): Promise<void> {
        const body = await readJson(context.request, this.opts.maxBodyBytes);
        checkGenerateBody(endpoint, body);
        const service = serviceForModel(context, body["model"]);
        const release = this.opts.admission.admit({
            caller: context.caller,
            service,
            tokens: estimateTokens(body),
        });
        const used: CallUsage = { promptTokens: 0, completionTokens: 0 };
        try {
            const request: GenerateRequest = { endpoint, body };
            if (body["stream"] === true) {
                await this.sendEvents(context, service, request, used);
            }
            else {
                await this.sendJson(context, service, request, used);
            }
        }
        finally {
            release(used);
        }
    }

    private async sendJson(
        context: RequestContext,
        service: ServiceDefinition,
        request: GenerateRequest,
        used: CallUsage,
    ): Promise<void> {
        const run = () => this.collect(context, service, request, used);
        const idempotentCall = idempotentJsonCall(context, this.opts.idempotentCalls, {
            service,
            body: request.body,
            run,
        });
        writeJson(context.response, await (idempotentCall ?? run()));
    }

    private async collect(
        context: RequestContext,
        service: ServiceDefinition,
        request: GenerateRequest,
        used: CallUsage,
    ): Promise<JsonObject> {
        const assembler = this.newAssembler(request);
        for await (const event of this.events(context, service, request, used)) {
            assembler.add(event);
        }
        return assembler.response();
    }

    private async sendEvents(
        context: RequestContext,
        service: ServiceDefinition,
        request: GenerateRequest,
        used: CallUsage,
    ): Promise<void> {
        const assembler = this.newAssembler(request);
        const stream = new ServerSentEvents(context.response);
        const includeUsage = (request.body["stream_options"] as JsonObject | undefined)?.["include_usage"] === true;
        let hasBegun = false;
        try {
            for await (const event of this.events(context, service, request, used)) {
                if (!hasBegun) {
                    hasBegun = true;
                    stream.begin();
                }
                await stream.send(assembler.add(event), context.signal);
            }
            if (includeUsage) {
                await stream.send([assembler.usageChunk()], context.signal);
            }
            stream.end();
        }
        catch (thrown) {
            if (!hasBegun) {
                throw thrown;
            }
            const error = toKnapweedError(thrown);
            this.opts.metrics.increment("stream_failed", { reason: error.code });
            stream.fail(errorBody(error));
        }
    }

    private newAssembler(request: GenerateRequest): CompletionAssembler {
        return new CompletionAssembler({ request, answerId: randomUUID(), createdAtMs: this.opts.clock.nowMs() });
    }

    /** Yields the events up to the finish event. Throws `STREAM_CUT` if the stream ends without one. */
    private async *events(
        context: RequestContext,
        service: ServiceDefinition,
        request: GenerateRequest,
        used: CallUsage,
    ): AsyncIterable<GenerateEvent> {
        const events = this.opts.backend.generate({
            service,
            request,
            caller: context.caller,
            signal: context.signal,
            deadlineMs: this.opts.clock.nowMs() + service.deadlineMs,
            traceParent: context.span.traceParent,
        });
        for await (const event of events) {
            yield event;
            if (event.kind === "finish") {
                used.promptTokens = event.usage.promptTokens;
                used.completionTokens = event.usage.completionTokens;
                return;
            }
        }
        throw new KnapweedError("STREAM_CUT", "The upstream's response ended early", { outcome: "unknown" });
    }
}
