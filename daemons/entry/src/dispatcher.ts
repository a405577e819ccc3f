import type { BackendCallOptions } from "@knapweedwood/api.callers/backendCallOptions";
import type { InferenceBackend } from "@knapweedwood/api.callers/inferenceBackend";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import { embedCall } from "@knapweedwood/daemons.inference/embedCall";
import { generateCall } from "@knapweedwood/daemons.inference/generateCall";
import { plainCall } from "@knapweedwood/daemons.inference/plainCall";
import type { PlainCallRequest } from "@knapweedwood/daemons.inference/plainCallRequest";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import type { CallOptions } from "@knapweedwood/links.calls/callOptions";
import type { Link } from "@knapweedwood/links.calls/link";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import { promptBlocksOf } from "@knapweedwood/routing.choice/promptBlocksOf";
import type { RetryBudget } from "@knapweedwood/routing.retries/retryBudget";
import type { RetryDecision } from "@knapweedwood/routing.retries/retryDecision";
import type { RetryPolicy } from "@knapweedwood/routing.retries/retryPolicy";
import type { BodyStreams } from "./bodyStreams.js";
import { GenerationProgress } from "./generationProgress.js";
import type { ServiceChoosers } from "./serviceChoosers.js";
import type { SideHandle } from "./sideHandle.js";
import { toCandidate } from "./toCandidate.js";
import type { UpstreamDirectory } from "./upstreamDirectory.js";

const COME_BACK_MS = 1000;

interface DispatcherOptions {
    directory: UpstreamDirectory;
    choosers: ServiceChoosers;
    retryPolicy: RetryPolicy;
    retryBudget: RetryBudget;
    bodyStreams: BodyStreams;
    clock: Clock;
    metrics: Metrics;
    tracer: Tracer;
}

interface Attempt<Frame> {
    service: ServiceDefinition;
    model: ModelName | undefined;
    /** Hashes of the prompt's leading blocks, shape [blocks]. */
    promptBlocks: string[];
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
            promptBlocks: promptBlocksOf(promptTextOf(opts.request.body)),
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
            promptBlocks: [],
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
            promptBlocks: [],
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
        const { clock, retryBudget, metrics } = this.opts;
        const excluded: InstanceId[] = [];
        retryBudget.onRequest(clock.nowMs());
        for (let count = 1;; count += 1) {
            const side = this.choose(attempt, excluded);
            try {
                yield* this.runOnce(side, attempt, count);
                return;
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                const decision = this.decideRetry(error, attempt, count);
                if (decision.kind === "give-up") {
                    metrics.increment("gave_up", { reason: decision.reason, code: error.code });
                    throw error;
                }
                excluded.push(side.record.instanceId);
                metrics.increment("retry", { reason: error.code });
                await sleep(clock, decision.delayMs, attempt.options.signal);
            }
        }
    }

    private choose<Frame>(attempt: Attempt<Frame>, excluded: InstanceId[]): SideHandle {
        const { directory, choosers, clock } = this.opts;
        const sides = directory.candidates(attempt.service.name, attempt.model);
        const request = {
            candidates: sides.map(toCandidate),
            promptBlocks: attempt.promptBlocks,
            nowMs: clock.nowMs(),
        };
        const chooser = choosers.of(attempt.service.name);
        // Where only upstreams that failed are left, they are better than none.
        const instanceId = chooser.choose({ ...request, excluded }) ?? chooser.choose(request);
        const side = sides.find(candidate => candidate.record.instanceId === instanceId);
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
        const { clock, choosers, tracer } = this.opts;
        const startedMs = clock.nowMs();
        const instanceId = side.record.instanceId;
        const span = tracer.startSpan("entry.call", {
            parent: attempt.options.traceParent,
            attributes: { side: instanceId, attempt: count },
        });
        side.inFlight += 1;
        let firstFrameMs: number | undefined;
        let failure: KnapweedError | undefined;
        let hasEnded = false;
        try {
            const frames = attempt.send(side.link, {
                signal: attempt.options.signal,
                timeoutMs: Math.max(1, attempt.options.deadlineMs - startedMs),
                traceParent: span.traceParent,
            });
            for await (const frame of frames) {
                firstFrameMs ??= clock.nowMs();
                yield frame;
            }
            hasEnded = true;
        }
        catch (thrown) {
            failure = toKnapweedError(thrown);
            throw failure;
        }
        finally {
            side.inFlight -= 1;
            span.end(failure);
            choosers.of(attempt.service.name).observe({
                instanceId,
                kind: observationKind({ failure, hasEnded, isCallerGone: attempt.options.signal.aborted }),
                durationMs: (firstFrameMs ?? clock.nowMs()) - startedMs,
                nowMs: clock.nowMs(),
            });
        }
    }

    private decideRetry<Frame>(error: KnapweedError, attempt: Attempt<Frame>, count: number): RetryDecision {
        const { clock, retryPolicy } = this.opts;
        const outcome = error.outcome ?? "answered";
        if (attempt.options.signal.aborted || (outcome === "not-run" && !attempt.isResendable())) {
            return { kind: "give-up", reason: "not-repeatable" };
        }
        return retryPolicy.decide({
            attempt: count,
            outcome,
            statusCode: error.statusCode,
            repeatable: attempt.isRepeatable(),
            deadlineMs: attempt.options.deadlineMs,
            nowMs: clock.nowMs(),
        });
    }
}

/** What a call that has ended says of its upstream: a refusal for load or leaving tells nothing against it. */
function observationKind(
    ended: { failure: KnapweedError | undefined; hasEnded: boolean; isCallerGone: boolean; },
): "success" | "failure" | "abandoned" {
    if (ended.hasEnded) {
        return "success";
    }
    const isInstanceFailure = ended.failure?.outcome === "unknown" && !ended.isCallerGone;
    return isInstanceFailure ? "failure" : "abandoned";
}
