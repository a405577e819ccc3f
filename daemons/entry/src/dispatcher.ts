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
import type { LinkedSide } from "./linkedSide.js";
import type { ServiceChoosers } from "./serviceChoosers.js";
import type { SideDirectory } from "./sideDirectory.js";
import { toCandidate } from "./toCandidate.js";

const RETRY_AFTER_MS = 1000;

interface DispatcherOptions {
    directory: SideDirectory;
    choosers: ServiceChoosers;
    retryPolicy: RetryPolicy;
    retryBudget: RetryBudget;
    bodyStreams: BodyStreams;
    clock: Clock;
    metrics: Metrics;
    tracer: Tracer;
}

interface RetryableCall<Frame> {
    service: ServiceDefinition;
    model: ModelName | undefined;
    /** Hashes of the prompt's leading blocks, shape [blocks]. */
    promptBlocks: string[];
    options: BackendCallOptions;
    /** Whether the call may run again after an unknown outcome. */
    isRepeatable: () => boolean;
    /** Whether the call may be sent to another upstream after it did not run. */
    isResendable: () => boolean;
    send: (link: Link, opts: CallOptions) => AsyncIterable<Frame>;
}

/**
 * Sends callers' calls to sides. Retries calls as the retry policy allows, and resumes interrupted generations at
 * another upstream.
 */
export class Dispatcher implements InferenceBackend {
    private readonly opts: DispatcherOptions;

    constructor(opts: DispatcherOptions) {
        this.opts = opts;
    }

    async *generate(
        opts: BackendCallOptions & { service: ServiceDefinition; request: GenerateRequest; },
    ): AsyncIterable<GenerateEvent> {
        const progress = new GenerationProgress(opts.request);
        const frames = this.runWithRetries<GenerateEvent>({
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
            progress.record(event);
            yield event;
        }
    }

    async embed(opts: BackendCallOptions & { service: ServiceDefinition; body: JsonObject; }): Promise<JsonObject> {
        const frames = this.runWithRetries<{ body: JsonObject; }>({
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
        const body = await this.opts.bodyStreams.prepare(opts.body);
        let hasReceivedFrame = false;
        const request: PlainCallRequest = {
            service: opts.service.name,
            method: opts.method,
            path: opts.path,
            headers: opts.headers,
            body: body.bytes,
            bodyId: body.bodyId,
        };
        const frames = this.runWithRetries<PlainFrame>({
            service: opts.service,
            model: undefined,
            promptBlocks: [],
            options: opts,
            isRepeatable: () => opts.service.repeatable && !hasReceivedFrame && !body.hasReadStarted(),
            isResendable: () => !hasReceivedFrame && !body.hasReadStarted(),
            send: (link, callOptions) => link.call(plainCall, request, callOptions),
        });
        try {
            for await (const frame of frames) {
                hasReceivedFrame = true;
                yield frame;
            }
        }
        finally {
            body.release();
        }
    }

    private async *runWithRetries<Frame>(call: RetryableCall<Frame>): AsyncIterable<Frame> {
        const { clock, retryBudget, metrics } = this.opts;
        const excluded: InstanceId[] = [];
        retryBudget.onRequest(clock.nowMs());
        for (let attemptNumber = 1;; attemptNumber += 1) {
            const side = this.chooseSide(call, excluded);
            try {
                yield* this.runAttempt(side, call, attemptNumber);
                return;
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                const decision = this.decideRetry(error, call, attemptNumber);
                if (decision.kind === "give-up") {
                    metrics.increment("gave_up", { reason: decision.reason, code: error.code });
                    throw error;
                }
                excluded.push(side.record.instanceId);
                metrics.increment("retry", { reason: error.code });
                await sleep(clock, decision.delayMs, call.options.signal);
            }
        }
    }

    private chooseSide<Frame>(call: RetryableCall<Frame>, excluded: InstanceId[]): LinkedSide {
        const { directory, choosers, clock } = this.opts;
        const sides = directory.candidates(call.service.name, call.model);
        const request = {
            candidates: sides.map(toCandidate),
            promptBlocks: call.promptBlocks,
            nowMs: clock.nowMs(),
        };
        const chooser = choosers.getOrCreate(call.service.name);
        // If the call has already failed at every candidate, it is sent to one of them again.
        const instanceId = chooser.choose({ ...request, excluded }) ?? chooser.choose(request);
        const side = sides.find(candidate => candidate.record.instanceId === instanceId);
        if (side === undefined) {
            throw new KnapweedError("NO_UPSTREAM", `No upstream of ${call.service.name} is available`, {
                outcome: "not-run",
                statusCode: 503,
                retryAfterMs: RETRY_AFTER_MS,
            });
        }
        return side;
    }

    private async *runAttempt<Frame>(
        side: LinkedSide,
        call: RetryableCall<Frame>,
        attemptNumber: number,
    ): AsyncIterable<Frame> {
        const { clock, choosers, tracer } = this.opts;
        const startedMs = clock.nowMs();
        const instanceId = side.record.instanceId;
        const span = tracer.startSpan("entry.call", {
            parent: call.options.traceParent,
            attributes: { side: instanceId, attempt: attemptNumber },
        });
        side.inFlightCalls += 1;
        let firstFrameMs: number | undefined;
        let failure: KnapweedError | undefined;
        let hasCompleted = false;
        try {
            const frames = call.send(side.link, {
                signal: call.options.signal,
                timeoutMs: Math.max(1, call.options.deadlineMs - startedMs),
                traceParent: span.traceParent,
            });
            for await (const frame of frames) {
                firstFrameMs ??= clock.nowMs();
                yield frame;
            }
            hasCompleted = true;
        }
        catch (thrown) {
            failure = toKnapweedError(thrown);
            throw failure;
        }
        finally {
            side.inFlightCalls -= 1;
            span.end(failure);
            choosers.getOrCreate(call.service.name).observe({
                instanceId,
                kind: observationKind({ failure, hasCompleted, isCallAborted: call.options.signal.aborted }),
                durationMs: (firstFrameMs ?? clock.nowMs()) - startedMs,
                nowMs: clock.nowMs(),
            });
        }
    }

    private decideRetry<Frame>(error: KnapweedError, call: RetryableCall<Frame>, attemptNumber: number): RetryDecision {
        const { clock, retryPolicy } = this.opts;
        const outcome = error.outcome ?? "answered";
        if (call.options.signal.aborted || (outcome === "not-run" && !call.isResendable())) {
            return { kind: "give-up", reason: "not-repeatable" };
        }
        return retryPolicy.decide({
            attempt: attemptNumber,
            outcome,
            statusCode: error.statusCode,
            repeatable: call.isRepeatable(),
            deadlineMs: call.options.deadlineMs,
            nowMs: clock.nowMs(),
        });
    }
}

/**
 * Classifies an ended call as an observation of its upstream. A rejection because of load or because the side is
 * leaving does not count as a failure of the upstream.
 */
function observationKind(
    ended: { failure: KnapweedError | undefined; hasCompleted: boolean; isCallAborted: boolean; },
): "success" | "failure" | "abandoned" {
    if (ended.hasCompleted) {
        return "success";
    }
    const isInstanceFailure = ended.failure?.outcome === "unknown" && !ended.isCallAborted;
    return isInstanceFailure ? "failure" : "abandoned";
}
