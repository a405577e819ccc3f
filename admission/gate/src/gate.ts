import { stepDurationMs } from "@knapweedwood/admission.cost-model/stepDurationMs";
import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { ActiveStream } from "./activeStream.js";
import type { AdmissionPolicy } from "./admissionPolicy.js";
import { ArrivalRate } from "./arrivalRate.js";
import { BatchExecutor } from "./batchExecutor.js";
import { BatchPuller } from "./batchPuller.js";
import { batchStateOf } from "./batchStateOf.js";
import { EmbeddingRunner } from "./embeddingRunner.js";
import { EngineLoadPoller } from "./engineLoadPoller.js";
import { EngineStreams } from "./engineStreams.js";
import { FailureClassifier } from "./failureClassifier.js";
import { GateGauges } from "./gateGauges.js";
import type { GateLoad } from "./gateLoad.js";
import type { GateObjective } from "./gateObjective.js";
import type { GateOptions } from "./gateOptions.js";
import type { GateState } from "./gateState.js";
import { OnlineFirstPolicy } from "./onlineFirstPolicy.js";
import { OnlineQueue } from "./onlineQueue.js";
import { ResultReporter } from "./resultReporter.js";
import { WorkEstimator } from "./workEstimator.js";

const TICK_MS = 25;
const DRAIN_CHECK_MS = 10;
const DEFAULT_MAX_ONLINE_WAITING = 256;
const DEFAULT_OBJECTIVE: GateObjective = { tokenGapObjectiveMs: 50, batchBalance: 0.9 };

/**
 * Controls admission to one model engine, which has no other gate. Admits online calls first; batch items use the
 * remaining capacity.
 */
export class Gate {
    private readonly opts: GateOptions;
    private readonly clock: Clock;
    private readonly policy: AdmissionPolicy;
    private readonly estimator = new WorkEstimator();
    private readonly arrivals = new ArrivalRate();
    private readonly failureClassifier = new FailureClassifier();
    private readonly streams: EngineStreams;
    private readonly loadPoller: EngineLoadPoller;
    private readonly online: OnlineQueue;
    private readonly gauges: GateGauges;
    private readonly reporter: ResultReporter | undefined;
    private readonly batch: BatchExecutor | undefined;
    private readonly puller: BatchPuller | undefined;
    private objective: GateObjective;
    private isLeaving = false;
    private ticker: Timer | undefined;
    private pendingDecision: Timer | undefined;

    constructor(opts: GateOptions) {
        const { clock, engine, batchSource: source, logger } = opts;
        this.opts = opts;
        this.clock = clock;
        this.policy = opts.policy ?? new OnlineFirstPolicy();
        this.objective = opts.objective ?? DEFAULT_OBJECTIVE;
        this.online = new OnlineQueue({ clock, maxWaiting: opts.maxOnlineWaiting ?? DEFAULT_MAX_ONLINE_WAITING });
        this.streams = new EngineStreams({
            clock,
            estimator: this.estimator,
            objectiveMs: () => this.objective.tokenGapObjectiveMs,
            onFirstToken: () => {
                this.failureClassifier.engineResponded();
                this.scheduleDecision();
            },
        });
        this.gauges = new GateGauges({ metrics: opts.metrics, streams: this.streams });
        this.loadPoller = new EngineLoadPoller({ clock, engine, ownSequences: () => this.streams.count });
        if (source === undefined) {
            return;
        }
        this.reporter = new ResultReporter({ clock, source, logger });
        this.batch = this.createBatchExecutor(this.reporter);
        this.puller = new BatchPuller({
            clock,
            source,
            logger,
            onItems: items => this.acceptPulled(items),
        });
    }

    /** Starts the decision loop and the polling of the engine's load. */
    start(): void {
        this.loadPoller.start();
        this.tick();
    }

    /**
     * Runs an online call. Throws a KnapweedError with outcome `not-run` when the call is rejected before the engine
     * began: `GATE_OVERLOADED` or `GATE_DEADLINE`, both with `retryAfterMs`, `GATE_LEAVING`, or `CANCELLED`.
     *
     * @param opts `deadlineMs` is the deadline of the call, in milliseconds on the gate's clock
     */
    async *runOnline(
        request: GenerateRequest,
        opts: { signal: AbortSignal; deadlineMs?: number; },
    ): AsyncGenerator<GenerateEvent> {
        if (this.isLeaving) {
            throw new KnapweedError("GATE_LEAVING", "The upstream is leaving and accepts no new calls", {
                outcome: "not-run",
                statusCode: 503,
            });
        }
        const stream = await this.admitOnline(request, opts);
        const startedAtMs = this.clock.nowMs();
        try {
            for await (const event of this.opts.engine.generate(request, { signal: opts.signal })) {
                this.recordOnlineEvent(request, stream, event);
                yield event;
            }
        }
        finally {
            this.streams.close(stream);
            this.online.recordDuration(this.clock.nowMs() - startedAtMs);
            this.decide();
        }
    }

    /** Returns the current load. */
    load(): GateLoad {
        const items = this.batch?.items ?? [];
        const batchRunning = items.filter(tracked => tracked.run !== undefined).length;
        const totals = this.batch?.totals ?? { preemptions: 0, discardedTokens: 0, batchTokens: 0 };
        const streams = [...this.streams.ofKind("online"), ...this.streams.ofKind("batch")];
        const pending = streams.filter(stream => this.streams.isPending(stream));
        return {
            onlineRunning: this.streams.ofKind("online").length,
            onlineQueued: this.online.waiting.length,
            onlinePrefillTokens: prefillTokensOf(this.streams.ofKind("online").filter(stream => !stream.hasFirstToken)),
            batchRunning,
            batchQueued: items.length - batchRunning,
            predictedStepMs: stepDurationMs(this.streams.costs, {
                sequences: streams.length,
                prefillTokens: prefillTokensOf(pending),
            }),
            ...totals,
        };
    }

    /** Stops all items of a job at once. None of them runs here afterwards. */
    cancelJob(jobId: JobId): void {
        this.batch?.cancelJob(jobId);
    }

    /** Replaces the objective; it applies from the next decision. */
    setObjective(objective: GateObjective): void {
        this.objective = objective;
        this.scheduleDecision();
    }

    /** Rejects new online calls and returns all batch items to their owners. Resolves when these have accepted them. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        this.batch?.leave();
        while ((this.batch?.items.length ?? 0) > 0) {
            await sleep(this.clock, DRAIN_CHECK_MS);
        }
        await this.reporter?.whenIdle();
    }

    /** Leaves, waits for the online calls in progress, then stops. */
    async close(): Promise<void> {
        await this.leave();
        while (this.streams.count + this.online.waiting.length > 0) {
            await sleep(this.clock, DRAIN_CHECK_MS);
        }
        this.loadPoller.stop();
        this.ticker?.cancel();
        this.pendingDecision?.cancel();
    }

    private createBatchExecutor(reporter: ResultReporter): BatchExecutor {
        const { engine, clock, metrics, itemRunner } = this.opts;
        return new BatchExecutor({
            engine,
            clock,
            metrics,
            reporter,
            itemRunner: itemRunner ?? new EmbeddingRunner({ engine }),
            estimator: this.estimator,
            streams: this.streams,
            failureClassifier: this.failureClassifier,
            onChange: () => this.scheduleDecision(),
            onInstanceBlamed: () => this.puller?.pause(),
        });
    }

    private async admitOnline(
        request: GenerateRequest,
        opts: { signal: AbortSignal; deadlineMs?: number; },
    ): Promise<ActiveStream> {
        const size = this.estimator.sizeOf(request);
        this.arrivals.record(this.clock.nowMs());
        const running = this.streams.ofKind("online").length;
        const admission = this.online.enqueue({ size, running, signal: opts.signal, deadlineMs: opts.deadlineMs });
        this.decide();
        try {
            return await admission;
        }
        catch (thrown) {
            this.opts.metrics.increment("gate.refused", { code: (thrown as KnapweedError).code });
            throw thrown;
        }
    }

    private recordOnlineEvent(request: GenerateRequest, stream: ActiveStream, event: GenerateEvent): void {
        if (event.kind === "chunk") {
            this.streams.tokenArrived(stream, request);
            return;
        }
        this.estimator.recordUsage(request, stream, event.usage);
    }

    private acceptPulled(items: BatchItem[]): number {
        const acceptedCount = this.batch?.add(items) ?? 0;
        if (this.isLeaving) {
            this.batch?.leave();
            return 0;
        }
        this.scheduleDecision();
        return acceptedCount;
    }

    private tick(): void {
        this.batch?.returnStale();
        this.gauges.send(this.clock.nowMs(), () => this.load());
        this.decide();
        this.ticker = this.clock.setTimer(TICK_MS, () => this.tick());
    }

    /** Schedules one decision for all events that occur together. */
    private scheduleDecision(): void {
        this.pendingDecision ??= this.clock.setTimer(0, () => {
            this.pendingDecision = undefined;
            this.decide();
        });
    }

    private decide(): void {
        const decision = this.policy.decide(this.state());
        decision.preempt.forEach(key => this.batch?.preempt(key));
        this.online.admit(decision.admitOnline, size => this.streams.open("online", size));
        if (this.isLeaving) {
            return;
        }
        decision.start.forEach(key => this.batch?.start(key));
        const waiting = this.batch?.items.filter(tracked => tracked.run === undefined).length ?? 0;
        this.puller?.requestItems(decision.targetWaiting - waiting);
        this.loadPoller.recordOwnSequences();
    }

    private state(): GateState {
        const nowMs = this.clock.nowMs();
        const online = this.streams.ofKind("online");
        return {
            nowMs,
            objective: this.objective,
            costs: this.streams.costs,
            limits: this.loadPoller.limits,
            externalSequences: this.loadPoller.externalSequences,
            online: {
                running: online.length,
                kvTokens: online.reduce((sum, stream) => sum + stream.kvTokens, 0),
                prefillTokens: prefillTokensOf(online.filter(stream => !stream.hasFirstToken)),
                waiting: this.online.waiting.map(({ size, arrivedAtMs }) => ({ ...size, waitingSinceMs: arrivedAtMs })),
                arrivalsPerSecond: this.arrivals.perSecond(nowMs),
            },
            batch: batchStateOf(this.batch?.items ?? [], this.streams),
        };
    }
}

function prefillTokensOf(streams: ActiveStream[]): number {
    return streams.reduce((sum, stream) => sum + stream.prefillTokens, 0);
}
