import { readBody } from "@knapweedwood/api.http/readBody";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import { forwardableHeaders } from "@knapweedwood/core.http-headers/forwardableHeaders";
import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallersApiOptions } from "./callersApiOptions.js";
import { mayCall } from "./mayCall.js";
import type { RecordedResponse } from "./recordedResponse.js";
import type { RequestContext } from "./requestContext.js";

const SERVICE_PATH_PATTERN = /^\/services\/([^/]+)(\/.*)?$/u;
const HEADERS_NOT_FORWARDED = ["host", "authorization", "content-length"];

/**
 * Forwards calls under `/services/NAME/` to a plain service. Both bodies are streamed, except for calls that run under
 * an idempotency key.
 */
export class PlainRoute {
    private readonly opts: CallersApiOptions;

    constructor(opts: CallersApiOptions) {
        this.opts = opts;
    }

    /** Forwards a call. Rejects with `SERVICE_UNKNOWN` (404), or an error of the body, the admission or the backend. */
    async handle(context: RequestContext): Promise<void> {
        const { service, path } = this.resolve(context);
        const release = this.opts.admission.admit({ caller: context.caller, service, tokens: 0 });
        try {
            const idempotencyKey = context.request.headers["idempotency-key"];
            if (typeof idempotencyKey === "string" && !service.repeatable) {
                await this.sendIdempotent(context, service, path, idempotencyKey);
            }
            else {
                const body = hasBody(context.request) ? context.request : undefined;
                await this.sendStreamed(context, this.call(context, service, path, body));
            }
        }
        finally {
            release({ promptTokens: 0, completionTokens: 0 });
        }
    }

    private resolve(context: RequestContext): { service: ServiceDefinition; path: string; } {
        const [, name = "", rest = "/"] = SERVICE_PATH_PATTERN.exec(context.path) ?? [];
        const service = context.view.service(decodeURIComponent(name) as ServiceName);
        if (service?.kind !== "plain" || !mayCall(service, context.caller.team.teamId)) {
            throw new KnapweedError("SERVICE_UNKNOWN", `There is no service ${name}`, {
                statusCode: 404,
                outcome: "not-run",
            });
        }
        const query = context.query.size === 0 ? "" : `?${context.query.toString()}`;
        return { service, path: `${rest}${query}` };
    }

    private call(
        context: RequestContext,
        service: ServiceDefinition,
        path: string,
        body: AsyncIterable<Uint8Array> | undefined,
    ): AsyncIterable<PlainFrame> {
        return this.opts.backend.callPlain({
            service,
            method: context.request.method ?? "GET",
            path,
            headers: forwardableHeaders(context.request.rawHeaders, { drop: HEADERS_NOT_FORWARDED }),
            body,
            caller: context.caller,
            signal: context.signal,
            deadlineMs: this.opts.clock.nowMs() + service.deadlineMs,
            traceParent: context.span.traceParent,
        });
    }

    private async sendStreamed(context: RequestContext, frames: AsyncIterable<PlainFrame>): Promise<void> {
        const { response, signal } = context;
        for await (const frame of frames) {
            if (frame.kind === "head") {
                writeHead(response, frame.statusCode, frame.headers);
            }
            else if (!response.write(frame.bytes) && !signal.aborted) {
                await once(response, "drain", { signal });
            }
        }
        response.end();
    }

    private async sendIdempotent(
        context: RequestContext,
        service: ServiceDefinition,
        path: string,
        idempotencyKey: string,
    ): Promise<void> {
        const body = await readBody(context.request, this.opts.maxBodyBytes);
        const recorded = await this.opts.idempotentCalls.run({
            caller: context.caller,
            service: service.name,
            idempotencyKey,
            timeoutMs: service.deadlineMs,
            requestDigest: digestOf(`${context.request.method ?? "GET"} ${path}\n${digestOf(body)}`),
            run: () =>
                collectResponse(this.call(context, service, path, body.length === 0 ? undefined : oneChunk(body))),
        });
        writeHead(context.response, recorded.statusCode, recorded.headers);
        context.response.end(recorded.body);
    }
}

function writeHead(response: ServerResponse, statusCode: number, headers: HeaderField[]): void {
    const raw = headers.flatMap(field => [field.name, field.value]);
    response.writeHead(statusCode, [...raw, "x-knapweed-outcome", "answered"]);
}

async function collectResponse(frames: AsyncIterable<PlainFrame>): Promise<RecordedResponse> {
    const parts: Uint8Array[] = [];
    let head: Extract<PlainFrame, { kind: "head"; }> | undefined;
    for await (const frame of frames) {
        if (frame.kind === "head") {
            head = frame;
        }
        else {
            parts.push(frame.bytes);
        }
    }
    if (head === undefined) {
        throw new KnapweedError("STREAM_CUT", "The upstream's response ended early", { outcome: "unknown" });
    }
    return { statusCode: head.statusCode, headers: head.headers, body: Buffer.concat(parts) };
}

async function* oneChunk(bytes: Uint8Array): AsyncIterable<Uint8Array> {
    yield await Promise.resolve(bytes);
}

function hasBody(request: IncomingMessage): boolean {
    return request.headers["transfer-encoding"] !== undefined || Number(request.headers["content-length"] ?? 0) > 0;
}
