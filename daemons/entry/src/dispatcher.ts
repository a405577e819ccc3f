import type { BackendCallOptions } from "@knapweedwood/api.callers/backendCallOptions";
import type { InferenceBackend } from "@knapweedwood/api.callers/inferenceBackend";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { Random } from "@knapweedwood/core.random/random";
import { embedCall } from "@knapweedwood/daemons.inference/embedCall";
import { generateCall } from "@knapweedwood/daemons.inference/generateCall";
import { plainCall } from "@knapweedwood/daemons.inference/plainCall";
import type { PlainCallRequest } from "@knapweedwood/daemons.inference/plainCallRequest";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { CallOptions } from "@knapweedwood/links.calls/callOptions";
import type { Link } from "@knapweedwood/links.calls/link";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import { affinityKeyOf } from "./affinityKeyOf.js";
import type { BodyStreams } from "./bodyStreams.js";
import { GenerationProgress } from "./generationProgress.js";
import type { RetryGate } from "./retryGate.js";
import type { SideHandle } from "./sideHandle.js";
import type { UpstreamDirectory } from "./upstreamDirectory.js";
import type { UpstreamSelector } from "./upstreamSelector.js";

const MAX_ATTEMPTS = 4;
const RETRY_BASE_DELAY_MS = 10;
const RETRY_MAX_DELAY_MS = 250;
const COME_BACK_MS = 1000;

interface DispatcherOptions {
    directory: UpstreamDirectory;
    selector: UpstreamSelector;
    retryGate: RetryGate;
    bodyStreams: BodyStreams;
    clock: Clock;
    random: Random;
    metrics: Metrics;
    tracer: Tracer;
}

interface Attempt<Frame> {
    service: ServiceDefinition;
    model: ModelName | undefined;
    affinityKey: string | undefined;
    options: BackendCallOptions;
    /** Whether the call may run again after an outcome that is unknown. */
    isRepeatable: () => boolean;
    /** Whether a call that did not run may be sent elsewhere. */
    isResendable: () => boolean;
    send: (link: Link, opts: CallOptions) => AsyncIterable<Frame>;
}

/** Sends callers' calls to sides, retries what may be retried, and resumes broken generations elsewhere. */
export class Dispatcher implements InferenceBackend {
    private readonly opts: DispatcherOptions;

    constructor(opts: DispatcherOptions) {
        this.opts = opts;
    }

    async *generate(
        opts: BackendCallOptions & { service: ServiceDefinition; request: GenerateRequest; },
    ): AsyncIterable<GenerateEvent> {
        const progress = new GenerationProgress(opts.request);
        const frames = this.attempts<GenerateEvent>({
            service: opts.service,
            model: opts.request.body["model"] as ModelName,
            affinityKey: affinityKeyOf(opts.request.body),
            options: opts,
            isRepeatable: () => opts.service.repeatable && progress.isResumable,
            isResendable: () => progress.isResumable,
            send: (link, callOptions) =>
                link.call(generateCall, { service: opts.service.name, request: progress.request() }, callOptions),
        });
        for await (const event of frames) {
            progress.add(event);
            yield event;
        }
    }

    async embed(opts: BackendCallOptions & { service: ServiceDefinition; body: JsonObject; }): Promise<JsonObject> {
        const frames = this.attempts<{ body: JsonObject; }>({
            service: opts.service,
            model: opts.body["model"] as ModelName,
            affinityKey: undefined,
            options: opts,
            isRepeatable: () => opts.service.repeatable,
            isResendable: () => true,
            send: (link, callOptions) =>
                link.call(embedCall, { service: opts.service.name, body: opts.body }, callOptions),
        });
        return (await singleFrame(frames)).body;
    }

    async *callPlain(opts: Parameters<InferenceBackend["callPlain"]>[0]): AsyncIterable<PlainFrame> {
        const body = await this.opts.bodyStreams.take(opts.body);
        let hasAnswered = false;
        const request: PlainCallRequest = {
            service: opts.service.name,
            method: opts.method,
            path: opts.path,
            headers: opts.headers,
            body: body.bytes,
            bodyId: body.bodyId,
        };
        const frames = this.attempts<PlainFrame>({
            service: opts.service,
            model: undefined,
            affinityKey: undefined,
            options: opts,
            isRepeatable: () => opts.service.repeatable && !hasAnswered && !body.hasBeenRead(),
            isResendable: () => !hasAnswered && !body.hasBeenRead(),
            send: (link, callOptions) => link.call(plainCall, request, callOptions),
        });
        try {
            for await (const frame of frames) {
                hasAnswered = true;
                yield frame;
            }
        }
        finally {
            body.release();
        }
    }

    private async *attempts<Frame>(attempt: Attempt<Frame>): AsyncIterable<Frame> {
        const { clock, retryGate, metrics } = this.opts;
        const failed = new Set<InstanceId>();
        retryGate.onRequest(clock.nowMs());
        for (let count = 1;; count += 1) {
            const side = this.select(attempt, failed);
            try {
                yield* this.runOnce(side, attempt, count);
                return;
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                failed.add(side.record.instanceId);
                if (!this.mayRetry(error, attempt, count)) {
                    throw error;
                }
                metrics.increment("retry", { reason: error.code });
                await sleep(clock, this.retryDelayMs(count), attempt.options.signal);
            }
        }
    }

    private select<Frame>(attempt: Attempt<Frame>, failed: Set<InstanceId>): SideHandle {
        const { directory, selector } = this.opts;
        const usable = directory.candidates(attempt.service.name, attempt.model);
        const fresh = usable.filter(side => !failed.has(side.record.instanceId));
        const side = selector.select({
            candidates: fresh.length > 0 ? fresh : usable,
            affinityKey: attempt.affinityKey,
        });
        if (side === undefined) {
            throw new KnapweedError("NO_UPSTREAM", `No upstream of ${attempt.service.name} can take the call`, {
                outcome: "not-run",
                statusCode: 503,
                retryAfterMs: COME_BACK_MS,
            });
        }
        return side;
    }

    private async *runOnce<Frame>(side: SideHandle, attempt: Attempt<Frame>, count: number): AsyncIterable<Frame> {
        const { clock, selector, tracer } = this.opts;
        const startedMs = clock.nowMs();
        const instanceId = side.record.instanceId;
        const span = tracer.startSpan("entry.call", {
            parent: attempt.options.traceParent,
            attributes: { side: instanceId, attempt: count },
        });
        side.inFlight += 1;
        let failure: KnapweedError | undefined;
        try {
            yield* attempt.send(side.link, {
                signal: attempt.options.signal,
                timeoutMs: Math.max(1, attempt.options.deadlineMs - startedMs),
                traceParent: span.traceParent,
            });
            selector.observe({ instanceId, kind: "success", durationMs: clock.nowMs() - startedMs });
        }
        catch (thrown) {
            failure = toKnapweedError(thrown);
            if (isInstanceFailure(failure) && !attempt.options.signal.aborted) {
                selector.observe({ instanceId, kind: "failure", durationMs: clock.nowMs() - startedMs });
            }
            throw failure;
        }
        finally {
            side.inFlight -= 1;
            span.end(failure);
        }
    }

    private mayRetry<Frame>(error: KnapweedError, attempt: Attempt<Frame>, count: number): boolean {
        const { clock, retryGate } = this.opts;
        const isAllowed = error.outcome === "not-run"
            ? attempt.isResendable()
            : error.outcome === "unknown" && attempt.isRepeatable();
        return isAllowed
            && !isFinalRefusal(error)
            && count < MAX_ATTEMPTS
            && !attempt.options.signal.aborted
            && clock.nowMs() < attempt.options.deadlineMs
            && retryGate.tryRetry(clock.nowMs());
    }

    private retryDelayMs(count: number): number {
        const limitMs = Math.min(RETRY_MAX_DELAY_MS, RETRY_BASE_DELAY_MS * 2 ** count);
        return this.opts.random.next() * limitMs;
    }
}

/** Whether the request itself was refused: no other upstream would take it. */
function isFinalRefusal(error: KnapweedError): boolean {
    return error.statusCode !== undefined && error.statusCode >= 400 && error.statusCode < 500
        && error.statusCode !== 429;
}

/** Whether a failure tells against the instance: a refusal for load or leaving does not. */
function isInstanceFailure(error: KnapweedError): boolean {
    return error.outcome !== "not-run" && !isFinalRefusal(error);
}
