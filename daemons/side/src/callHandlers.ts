import type { Gate } from "@knapweedwood/admission.gate/gate";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { embedCall } from "@knapweedwood/daemons.inference/embedCall";
import { generateCall } from "@knapweedwood/daemons.inference/generateCall";
import type { GenerateCallRequest } from "@knapweedwood/daemons.inference/generateCallRequest";
import { plainCall } from "@knapweedwood/daemons.inference/plainCall";
import type { PlainCallRequest } from "@knapweedwood/daemons.inference/plainCallRequest";
import { readBodyCall } from "@knapweedwood/daemons.inference/readBodyCall";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { CallContext } from "@knapweedwood/links.calls/callContext";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import type { PlainGate } from "./plainGate.js";

interface CallHandlersOptions {
    endpoint: LinkEndpoint;
    tracer: Tracer;
    service: string;
    engine: ModelEngine | undefined;
    gate: Gate | undefined;
    plainGate: PlainGate | undefined;
    /** Whether new calls are rejected because this side is leaving. */
    isLeaving: () => boolean;
}

/** Handles the calls of entries by running them at the upstream of this side. */
export class CallHandlers {
    private readonly opts: CallHandlersOptions;
    private callCount = 0;

    constructor(opts: CallHandlersOptions) {
        this.opts = opts;
        const { endpoint } = opts;
        endpoint.handle(
            generateCall,
            (call, context) => this.traced("side.generate", call.service, context, () => this.generate(call, context)),
        );
        endpoint.handle(
            embedCall,
            (call, context) => this.traced("side.embed", call.service, context, () => this.embed(call, context)),
        );
        endpoint.handle(
            plainCall,
            (call, context) => this.traced("side.plain", call.service, context, () => this.plain(call, context)),
        );
    }

    /** Number of calls in progress. */
    get runningCallCount(): number {
        return this.callCount;
    }

    private async *traced<Frame>(
        name: string,
        service: string,
        context: CallContext,
        run: () => AsyncIterable<Frame>,
    ): AsyncIterable<Frame> {
        const span = this.opts.tracer.startSpan(name, { parent: context.traceParent, attributes: { service } });
        this.callCount += 1;
        let failure: KnapweedError | undefined;
        try {
            this.assertAccepted(service);
            yield* run();
        }
        catch (thrown) {
            failure = toKnapweedError(thrown);
            throw failure;
        }
        finally {
            this.callCount -= 1;
            span.end(failure);
        }
    }

    private assertAccepted(service: string): void {
        if (this.opts.isLeaving()) {
            throw new KnapweedError("SIDE_LEAVING", "The side is leaving and accepts no new calls", {
                outcome: "not-run",
            });
        }
        if (service !== this.opts.service) {
            throw new KnapweedError("SERVICE_ELSEWHERE", `This side serves ${this.opts.service} only`, {
                outcome: "not-run",
            });
        }
    }

    private generate(call: GenerateCallRequest, context: CallContext) {
        const gate = requireDefined(this.opts.gate);
        return gate.runOnline(call.request, { signal: context.signal, deadlineMs: context.deadlineMs });
    }

    private async *embed(call: { body: JsonObject; }, context: CallContext) {
        yield { body: await requireDefined(this.opts.engine).embed(call.body, { signal: context.signal }) };
    }

    private plain(call: PlainCallRequest, context: CallContext) {
        const body = call.bodyId === undefined ? call.body : this.streamedBody(call.bodyId, context);
        return requireDefined(this.opts.plainGate).runOnline(call, { body, signal: context.signal });
    }

    private async *streamedBody(bodyId: string, context: CallContext): AsyncIterable<Uint8Array> {
        const link = this.opts.endpoint.links().find(candidate =>
            candidate.peer?.instanceId === context.peer.instanceId
        );
        if (link === undefined) {
            throw new KnapweedError("LINK_LOST", "The link to the entry of the caller is lost", { outcome: "unknown" });
        }
        for await (const part of link.call(readBodyCall, { bodyId }, { signal: context.signal })) {
            yield part.bytes;
        }
    }
}

function requireDefined<Value>(value: Value | undefined): Value {
    if (value === undefined) {
        throw new KnapweedError("SERVICE_ELSEWHERE", "The upstream of this side does not support this kind of call", {
            outcome: "not-run",
        });
    }
    return value;
}
