import type { Timer } from "@knapweedwood/core.clock/timer";
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import type { QueueEstimate } from "@knapweedwood/fleet.load/queueEstimate";
import type { MemoryReservation } from "@knapweedwood/fleet.memory/memoryReservation";
import type { ExchangeFailure } from "@knapweedwood/fleet.upstreams/exchangeFailure";
import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import type { PromptPart } from "@knapweedwood/fleet.view/promptPart";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Attempt } from "./attempt.js";
import { AttemptOutcomes } from "./attemptOutcomes.js";
import { callerTimeoutAtMs } from "./callerTimeoutAtMs.js";
import { CallRecorder } from "./callRecorder.js";
import { CallTimes } from "./callTimes.js";
import { CallTraits } from "./callTraits.js";
import { chooseService } from "./chooseService.js";
import { createAttempt } from "./createAttempt.js";
import { createResponseWriter } from "./createResponseWriter.js";
import { DisplacementRetry } from "./displacementRetry.js";
import type { GatewayContext } from "./gatewayContext.js";
import { headerOf } from "./headerOf.js";
import { isRepeatable } from "./isRepeatable.js";
import { queueFieldsOf } from "./queueFieldsOf.js";
import { remainingMsOf } from "./remainingMsOf.js";
import { ResponseForwarder } from "./responseForwarder.js";
import { type ResponseWriter } from "./responseWriter.js";
import type { ResumptionDecision } from "./resumptionDecision.js";
import { sendFailure } from "./sendFailure.js";
import { StreamContinuity } from "./streamContinuity.js";
import { upstreamRequestOf } from "./upstreamRequestOf.js";

const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;
const HTTP_MISDIRECTED = 421;
const HTTP_SERVER_ERROR = 500;
const HTTP_UNAVAILABLE = 503;
/** Failure of an attempt that this process has ended. */
const ABORTED = { mayHaveRun: true, isUnreachable: false, isConnectionBroken: false };
const FAILED_RETRY_AFTER_MS = 100;
/** Maximum size of the body of a response that says that the upstream doesn't run the request, in bytes. */
const MAX_NOT_RUN_BODY_BYTES = 1_048_576;

/** Handles one online request from its arrival to its response, with retries at other upstreams. */
export class OnlineCall implements QueuedRequest {
    service: ServiceName;
    readonly team: Team | undefined;
    readonly promptParts: readonly PromptPart[];
    readonly priority: number;
    readonly arrivedAtMs: number;
    readonly objectiveAtMs: number;
    callerTimeoutAtMs: number;
    readonly deadlineAtMs: number;
    readonly isRetry: boolean;
    readonly excluded = new Set<UpstreamId>();
    private readonly context: GatewayContext;
    private readonly outcomes: AttemptOutcomes;
    private readonly recorder: CallRecorder;
    private readonly route: Route;
    private readonly request: IncomingMessage;
    private readonly response: ServerResponse;
    private readonly body: Buffer;
    private readonly onNotRun: () => void;
    private readonly requestId: RequestId;
    /** Undefined unless the response is a stream that may be resumed. */
    private readonly continuity: StreamContinuity | undefined;
    private readonly traits: CallTraits;
    private readonly deadlineTimer: Timer;
    private readonly writer: ResponseWriter;
    private readonly forwarder: ResponseForwarder;
    private readonly displacementRetry: DisplacementRetry;
    private attempt: Attempt | undefined;
    private attempts = 0;
    private mayHaveRun = false;
    private isDone = false;

    constructor(opts: {
        context: GatewayContext;
        route: Route;
        request: IncomingMessage;
        response: ServerResponse;
        body: Buffer;
        arrivedAtMs: number;
        /** The team of the caller; undefined if callers need no key. */
        team: Team | undefined;
        memory: MemoryReservation;
        /** Called once if the call ends without having run at an upstream. */
        onNotRun: () => void;
    }) {
        const { context, route, request } = opts;
        this.context = context;
        this.outcomes = new AttemptOutcomes(context);
        this.route = route;
        this.request = request;
        this.response = opts.response;
        this.body = opts.body;
        this.onNotRun = opts.onNotRun;
        this.arrivedAtMs = opts.arrivedAtMs;
        this.requestId = (headerOf(request, context.headers.requestId) ?? "") as RequestId;
        this.recorder = new CallRecorder({ ...opts, requestId: this.requestId });
        this.service = chooseService(route, context.random) ?? ("" as ServiceName);
        this.team = opts.team;
        this.priority = this.team?.priority ?? route.priority;
        this.traits = new CallTraits(context, request, opts.body);
        this.promptParts = context.decodePromptParts(headerOf(request, context.headers.promptParts));
        const remainingMs = remainingMsOf(request, route, context.headers);
        const times = new CallTimes(route, { arrivedAtMs: opts.arrivedAtMs, remainingMs });
        this.isRetry = times.isRetry;
        this.objectiveAtMs = times.objectiveAtMs;
        this.deadlineAtMs = times.deadlineAtMs;
        this.callerTimeoutAtMs = callerTimeoutAtMs(this, route, this.arrivedAtMs);
        this.continuity = route.kind === "stream" && route.isResumable
            ? new StreamContinuity({ context, route, request, requestId: this.requestId })
            : undefined;
        this.writer = createResponseWriter({
            clock: context.clock,
            response: opts.response,
            route,
            mayBeEmpty: this.continuity?.isResumption === true,
            maxTokens: context.decodeMaxTokens(headerOf(request, context.headers.tokenCounts)),
        });
        this.forwarder = new ResponseForwarder({
            ...opts,
            clock: context.clock,
            serviceTimes: context.serviceTimes,
            writer: this.writer,
            recorder: this.recorder,
            continuity: this.continuity,
        });
        this.displacementRetry = new DisplacementRetry({
            context,
            onEnded: upstream => this.onDisplacementEnded(upstream),
        });
        this.deadlineTimer = context.clock.setTimer(this.deadlineAtMs - context.clock.nowMs(), () => this.onDeadline());
        opts.response.on("close", () => this.onCallerDisconnected());
    }

    get softwareVersion(): SoftwareVersion | undefined {
        return this.continuity?.softwareVersion;
    }

    get maxEventGapMs(): number | undefined {
        return this.route.maxEventGapMs;
    }

    get isStarted(): boolean {
        return this.writer.hasStarted;
    }

    /** Submits the request to the request queue, a resumed stream once it is known what began it. */
    start(): void {
        if (this.continuity?.isResumption === true) {
            void this.continuity.decideResumption().then(decision => this.onResumptionDecided(decision));
            return;
        }
        this.context.requestQueue.submit(this);
    }

    private onResumptionDecided(decision: ResumptionDecision): void {
        const { resumedRequestId } = this.continuity!;
        this.context.metrics.increment("stream_resumptions_total", { outcome: decision.kind });
        this.recorder.log("stream-resumption-decided", { ...decision, resumedRequestId });
        if (this.isDone) {
            return;
        }
        if (decision.kind === "reject") {
            this.onRejected(decision.retryAfterMs, decision.reason);
            return;
        }
        this.service = decision.origin.service;
        this.context.requestQueue.submit(this);
    }

    blockedForMs(): number {
        return this.context.quarantine.blockedForMs(this.service, this.traits.all);
    }

    onPlaced(upstream: Upstream): void {
        const nowMs = this.context.clock.nowMs();
        this.attempts += 1;
        this.excluded.add(upstream.id);
        this.context.loadTracker.count(upstream.id, "online", 1);
        this.context.onLoadChanged();
        const promptRun = this.context.promptCaches.begin(upstream, this.promptParts);
        this.recorder.onPlaced({
            upstream: upstream.id,
            softwareVersion: upstream.softwareVersion,
            attempt: this.attempts,
            resumedAfter: this.writer.lastEventId ?? headerOf(this.request, this.context.headers.lastEventId),
            resumedRequestId: this.continuity?.resumedRequestId,
            online: this.context.loadTracker.onlineCount(upstream.id),
            slowness: this.context.speeds.loggedSlownessOf(upstream.id),
            limitPerSecond: this.context.limits.limitOf(upstream),
            configuration: this.context.configuration.version,
            promptTokensKept: this.promptParts.length === 0 ? undefined : promptRun.keptTokens,
        });
        this.recorder.onPrompt(promptRun);
        const attempt = createAttempt({
            clock: this.context.clock,
            speeds: this.context.speeds,
            route: this.route,
            response: this.response,
            upstream,
            requestRun: this.context.quarantine.begin(this.service, this.traits.all),
            promptRun,
            onNoResponse: silent => this.onNoResponse(silent),
            onPaused: paused => this.onPaused(paused),
        });
        this.attempt = attempt;
        const request = upstreamRequestOf(this.request, {
            names: this.context.headers,
            body: this.body,
            requestId: this.requestId,
            hasTeams: this.context.configuration.current?.teams !== undefined,
            teamId: this.team?.id,
            upstreamId: upstream.id,
            remainingMs: this.deadlineAtMs - nowMs,
            lastEventId: this.writer.lastEventId,
        });
        attempt.exchange = this.context.connections.send(upstream, request, {
            onHead: head => this.onHead(attempt, head),
            onData: chunk => this.onData(attempt, chunk),
            onTinyParts: () => this.onTinyParts(attempt),
            onEnd: ending => this.onEnd(attempt, ending),
            onFailure: failure => this.onFailure(attempt, failure),
        });
    }

    onWaiting(estimate: QueueEstimate): void {
        this.recorder.onWaiting(this.team, estimate);
    }

    onRejected(retryAfterMs: number, reason: string, estimate?: QueueEstimate): void {
        // Callers rely on 503 that the request has not run.
        const statusCode = this.mayHaveRun ? 502 : 503;
        if (!this.mayHaveRun) {
            this.onNotRun();
        }
        this.recorder.onRejected(this.team, estimate);
        this.finish("call-refused", {
            reason,
            retryAfterMs: Math.round(retryAfterMs),
            statusCode,
            ...queueFieldsOf(this.team, estimate),
        });
        const mustClose = this.context.isStopping();
        sendFailure(this.response, {
            statusCode,
            message: reason,
            mustClose,
            ...this.mayHaveRun ? {} : { retryAfterMs },
        });
    }

    private onHead(attempt: Attempt, head: ResponseHead): void {
        if (attempt !== this.attempt) {
            return;
        }
        const { headers } = this.context;
        if (head.header(headers.leaving) !== undefined) {
            this.context.onUpstreamLeaving(attempt.upstream);
        }
        if (head.header(headers.notRun) !== undefined || head.statusCode === HTTP_MISDIRECTED) {
            attempt.isNotRun = true;
            attempt.isFull = head.statusCode === HTTP_UNAVAILABLE;
            // A version that the caller demands is another reason for this status.
            if (head.statusCode === HTTP_MISDIRECTED && headerOf(this.request, headers.expectedVersion) === undefined) {
                this.context.health.onMisdirected(attempt.upstream.id, this.context.clock.nowMs());
            }
            this.recorder.log("upstream-not-run", { upstream: attempt.upstream.id, statusCode: head.statusCode });
            return;
        }
        attempt.stallDetector.onHead();
        if (head.header(headers.upstreamProof) === undefined && head.statusCode < HTTP_MULTIPLE_CHOICES) {
            this.failAttempt(attempt, "ANSWER_WITHOUT_PROOF");
            return;
        }
        if (!this.writer.continues(head)) {
            // The caller has a part of a stream, which an error doesn't continue, whatever its status.
            this.failAttempt(attempt, "STREAM_NOT_RESUMED");
            return;
        }
        this.writer.onHead(head, () => this.context.isStopping());
    }

    private onData(attempt: Attempt, chunk: Buffer): void {
        if (attempt !== this.attempt) {
            return;
        }
        if (attempt.isNotRun) {
            attempt.notRunBodyBytes += chunk.length;
            if (attempt.notRunBodyBytes > MAX_NOT_RUN_BODY_BYTES) {
                this.failAttempt(attempt, "ANSWER_TOO_LARGE");
            }
            return;
        }
        const outcome = this.forwarder.onData(attempt, this.service, chunk);
        if (outcome === "too-large") {
            this.failAttempt(attempt, "ANSWER_TOO_LARGE");
        }
        if (outcome === "foreign") {
            this.failAttempt(attempt, "ANSWER_WITHOUT_EVENTS");
        }
        if (outcome === "no-memory") {
            this.abort(attempt);
            this.fail(502, "The limit of the memory for callers is reached");
        }
    }

    /** Has another upstream run the request, where it may. Otherwise the response is read on, slowly. */
    private onTinyParts(attempt: Attempt): void {
        if (attempt !== this.attempt || attempt.hasTinyParts) {
            return;
        }
        attempt.hasTinyParts = true;
        if (isRepeatable(this.route) && this.attempts < this.route.maxAttempts) {
            this.failAttempt(attempt, "ANSWER_IN_TINY_PARTS");
            return;
        }
        const isEjected = this.context.health.onFailure(attempt.upstream.id, this.context.clock.nowMs());
        this.recorder.log("upstream-slowed", { upstream: attempt.upstream.id, isEjected });
    }

    /** Ends an attempt whose response can't be used, as a failure of its upstream. */
    private failAttempt(attempt: Attempt, code: string): void {
        attempt.exchange.abort();
        this.onFailure(attempt, { ...ABORTED, code });
    }

    private onEnd(attempt: Attempt, ending: ResponseEnding): void {
        if (attempt !== this.attempt) {
            return;
        }
        if (attempt.isNotRun) {
            this.onAttemptNotRun(attempt);
            return;
        }
        if (!this.writer.isComplete(ending)) {
            this.onFailure(attempt, { ...ABORTED, isConnectionBroken: true, code: "ANSWER_CUT" });
            return;
        }
        this.release(attempt);
        const { statusCode } = this.writer;
        const isEjected = this.outcomes.onResponse(attempt, statusCode, ending);
        if (statusCode >= HTTP_SERVER_ERROR) {
            this.recorder.log("upstream-error", { upstream: attempt.upstream.id, statusCode, isEjected });
        }
        this.finish("call-answered", {
            upstream: attempt.upstream.id,
            statusCode,
            ending,
            firstPartMs: this.recorder.firstPartMs(),
            durationMs: this.recorder.elapsedMs(),
        });
        this.writer.end();
    }

    private onFailure(attempt: Attempt, failure: ExchangeFailure): void {
        if (attempt !== this.attempt) {
            return;
        }
        if (attempt.isNotRun && failure.isConnectionBroken) {
            this.onAttemptNotRun(attempt);
            return;
        }
        this.release(attempt);
        if (failure.isUnsendable === true) {
            this.onUnsendable(failure);
            return;
        }
        const isEjected = this.outcomes.onFailure(attempt, failure);
        this.recorder.log("upstream-failed", {
            upstream: attempt.upstream.id,
            ...failure,
            isEjected,
            hasBegun: attempt.stallDetector.hasData,
            promptParts: this.traits.promptParts,
            fingerprint: this.traits.fingerprint,
        });
        if (!failure.mayHaveRun) {
            this.attempts -= 1;
            this.requeue();
            return;
        }
        this.mayHaveRun = true;
        const isErrorBegun = this.writer.hasStarted && this.writer.statusCode !== HTTP_OK;
        if (isRepeatable(this.route) && !isErrorBegun) {
            this.retryOrReject("the upstream broke off");
            return;
        }
        this.fail(502, "The upstream broke off");
    }

    /** Sends the request to another upstream or, if none is idle and batch runs filled one, again to that one after them. */
    private onAttemptNotRun(attempt: Attempt): void {
        this.release(attempt);
        if (attempt.isFull) {
            this.displacementRetry.recordFull(attempt.upstream);
        }
        const mayGoElsewhere = this.attempts < this.route.maxAttempts && this.context.requestQueue.hasIdleSlot(this);
        const fullOfRuns = mayGoElsewhere ? undefined : this.displacementRetry.begin(this.callerTimeoutAtMs);
        if (fullOfRuns === undefined) {
            this.retryOrReject("upstreams did not run it");
            return;
        }
        this.recorder.log("displacement-awaited", { upstream: fullOfRuns.id });
    }

    private onDisplacementEnded(upstream: Upstream): void {
        if (this.context.clock.nowMs() >= this.callerTimeoutAtMs) {
            this.onRejected(0, "the caller's time is up");
            return;
        }
        // The limit counts upstreams, and this one has counted already.
        this.attempts -= 1;
        this.writer.restart();
        this.context.requestQueue.submitAgain(this, upstream);
    }

    /** Rejects a request that can be sent to no upstream. It says nothing of the one that was chosen. */
    private onUnsendable({ code, message }: ExchangeFailure): void {
        this.onNotRun();
        this.recorder.log("request-unsendable", { code, message });
        this.fail(400, "The request can't be forwarded");
    }

    private retryOrReject(reason: string): void {
        if (this.attempts < this.route.maxAttempts) {
            this.requeue();
            return;
        }
        this.onRejected(FAILED_RETRY_AFTER_MS, reason);
    }

    private requeue(): void {
        this.writer.restart();
        if (this.isStarted) {
            this.callerTimeoutAtMs = callerTimeoutAtMs(this, this.route, this.recorder.lastDataAtMs);
        }
        this.context.requestQueue.submit(this);
    }

    private onNoResponse(attempt: Attempt): void {
        if (attempt !== this.attempt) {
            return;
        }
        if (isRepeatable(this.route) && this.attempts < this.route.maxAttempts) {
            this.failAttempt(attempt, "UPSTREAM_SILENT");
            return;
        }
        const nowMs = this.context.clock.nowMs();
        const isEjected = this.context.health.onNoResponse(attempt.upstream.id, attempt.startedAtMs, nowMs);
        this.recorder.log("upstream-silent", { upstream: attempt.upstream.id, isEjected });
    }

    /** Ends the attempt and resumes the response at another upstream, if the route allows that. */
    private onPaused(attempt: Attempt): void {
        const canResume = this.route.kind === "stream" && isRepeatable(this.route)
            && this.attempts < this.route.maxAttempts;
        if (attempt === this.attempt && canResume) {
            this.failAttempt(attempt, "UPSTREAM_PAUSED");
        }
    }

    private onDeadline(): void {
        if (this.isDone) {
            return;
        }
        const { attempt } = this;
        if (attempt === undefined) {
            this.context.requestQueue.remove(this);
            this.onRejected(0, "the caller's time is up");
            return;
        }
        this.abort(attempt);
        this.fail(504, "No answer in time");
    }

    /** Ends the call, as this process stops. A response that has begun is left as it is. */
    onStop(): void {
        if (this.isDone || this.writer.hasStarted) {
            return;
        }
        const { attempt } = this;
        if (attempt === undefined) {
            this.context.requestQueue.remove(this);
            this.onRejected(0, "This process is stopping");
            return;
        }
        this.abort(attempt);
        this.fail(504, "This process is stopping");
    }

    private onCallerDisconnected(): void {
        if (this.isDone) {
            return;
        }
        this.context.requestQueue.remove(this);
        if (this.attempt !== undefined) {
            this.abort(this.attempt);
        }
        else if (!this.mayHaveRun) {
            this.onNotRun();
        }
        this.finish("caller-gone", {});
    }

    private fail(statusCode: number, message: string): void {
        this.finish("call-failed", { statusCode, message });
        sendFailure(this.response, { statusCode, message, mustClose: this.context.isStopping() });
    }

    private abort(attempt: Attempt): void {
        attempt.exchange.abort();
        this.release(attempt);
    }

    private release(attempt: Attempt): void {
        attempt.stallDetector.cancel();
        this.attempt = undefined;
        this.context.loadTracker.count(attempt.upstream.id, "online", -1);
        this.context.onLoadChanged();
        // Runs after the caller of this method has finished with the request.
        queueMicrotask(() => this.context.requestQueue.dispatch());
    }

    private finish(event: string, fields: { [field: string]: unknown; }): void {
        this.isDone = true;
        this.displacementRetry.cancel();
        this.deadlineTimer.cancel();
        this.recorder.end(event, fields);
    }
}
