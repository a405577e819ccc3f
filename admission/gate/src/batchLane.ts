import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { BatchItemRunner } from "./batchItemRunner.js";
import type { BatchKey } from "./batchKey.js";
import type { BatchRun } from "./batchRun.js";
import { CancelledJobs } from "./cancelledJobs.js";
import { EngineCanary } from "./engineCanary.js";
import type { EngineStreams } from "./engineStreams.js";
import type { FailureJudge } from "./failureJudge.js";
import { GenerationRun } from "./generationRun.js";
import type { HeldItem } from "./heldItem.js";
import type { ResultReporter } from "./resultReporter.js";
import type { StopReason } from "./stopReason.js";
import type { WorkEstimator } from "./workEstimator.js";

/** How long an item is held here without running before it is given back for others to run. */
const MAX_HOLD_MS = 10_000;
const OK = 200;

/** The batch items of one gate: those that run and those that wait here for room. */
export class BatchLane {
    /** Counts since the start. */
    readonly totals = { preemptions: 0, tokensThrownAway: 0, batchTokens: 0 };
    private readonly opts: BatchLaneOptions;
    private readonly cancelledJobs = new CancelledJobs();
    private readonly held = new Map<BatchKey, HeldItem>();

    private readonly canary: EngineCanary;

    constructor(opts: BatchLaneOptions) {
        this.opts = opts;
        this.canary = new EngineCanary(opts);
    }

    /** All items held here, running ones among them, shape [items]. */
    get items(): HeldItem[] {
        return [...this.held.values()];
    }

    /** Takes pulled items in. Items of cancelled jobs go straight back. @returns how many were kept */
    add(items: BatchItem[]): number {
        const added = items.map(item => this.hold(item));
        const unwanted = added.filter(held => this.cancelledJobs.has(held.item.jobId));
        unwanted.forEach(held => this.giveBack(held));
        return added.length - unwanted.length;
    }

    /** Starts the stream of a waiting item. */
    start(key: BatchKey): void {
        const held = this.held.get(key);
        if (held !== undefined && held.run === undefined) {
            void this.run(held);
        }
    }

    /** Cancels the stream of an item and keeps the item here, with what was produced. */
    preempt(key: BatchKey): void {
        const held = this.held.get(key);
        if (held?.run !== undefined) {
            this.totals.preemptions += 1;
            this.opts.metrics.increment("gate.preempted");
            this.stop(held.run, "preempted");
        }
    }

    /** Stops all items of a job; none of it is run here any more. */
    cancelJob(jobId: JobId): void {
        this.cancelledJobs.add(jobId);
        this.giveBackAll(this.items.filter(held => held.item.jobId === jobId), "cancelled");
    }

    /** Gives items back that have waited here for long. */
    giveBackStale(): void {
        const nowMs = this.opts.clock.nowMs();
        this.items
            .filter(held => held.run === undefined && nowMs - held.waitingSinceMs > MAX_HOLD_MS)
            .forEach(held => this.giveBack(held));
    }

    /** Stops all items and gives them back, with what was produced. */
    leave(): void {
        this.giveBackAll(this.items, "leaving");
    }

    private giveBackAll(items: HeldItem[], reason: StopReason): void {
        items.forEach(held => {
            if (held.run === undefined) {
                this.giveBack(held);
                return;
            }
            this.stop(held.run, reason);
        });
    }

    private stop(run: BatchRun, reason: StopReason): void {
        run.stopReason = reason === "preempted" ? run.stopReason ?? reason : reason;
        run.abort.abort();
        this.opts.streams.cancelled(run.stream);
    }

    private hold(item: BatchItem): HeldItem {
        const held: HeldItem = {
            key: `${item.jobId}/${item.itemIndex}/${item.attempt}` as BatchKey,
            item,
            size: this.sizeOf(item),
            resumeFrom: item.resumeFrom,
            isResumed: false,
            waitingSinceMs: this.opts.clock.nowMs(),
            run: undefined,
        };
        this.held.set(held.key, held);
        return held;
    }

    private sizeOf(item: BatchItem) {
        return isGeneration(item)
            ? this.opts.estimator.sizeOf(requestOf(item, item.resumeFrom))
            : { prefillTokens: 1, kvTokens: 1 };
    }

    private async run(held: HeldItem): Promise<void> {
        const stream = this.opts.streams.open("batch", held.size);
        const run: BatchRun = { abort: new AbortController(), stream, producedTokens: 0, stopReason: undefined };
        held.run = run;
        const generation = isGeneration(held.item) ? this.generationOf(held) : undefined;
        try {
            const answer = generation === undefined
                ? await this.opts.itemRunner.run(held.item, { signal: run.abort.signal })
                : await this.generate(held, run, generation);
            this.finish(held, { kind: "completed", ...answer });
        }
        catch (thrown) {
            this.opts.streams.close(stream);
            await this.fail(held, run, { error: toKnapweedError(thrown), generation });
        }
        finally {
            this.opts.streams.close(stream);
            this.opts.onChange();
        }
    }

    private generationOf(held: HeldItem): { request: GenerateRequest; run: GenerationRun; } {
        const request = requestOf(held.item, held.resumeFrom);
        const answerId = `${held.item.jobId}-${held.item.itemIndex}`;
        return { request, run: new GenerationRun({ request, answerId, clock: this.opts.clock }) };
    }

    private async generate(
        held: HeldItem,
        run: BatchRun,
        generation: { request: GenerateRequest; run: GenerationRun; },
    ) {
        const events = this.opts.engine.generate(generation.request, { signal: run.abort.signal });
        for await (const event of events) {
            generation.run.add(event);
            if (event.kind === "chunk") {
                run.producedTokens += event.tokenCount;
                this.totals.batchTokens += event.tokenCount;
                this.opts.streams.tokenArrived(run.stream, generation.request);
            }
            else {
                this.opts.estimator.learn(generation.request, held.size, event.usage);
            }
        }
        return { statusCode: OK, body: generation.run.response() };
    }

    private async fail(
        held: HeldItem,
        run: BatchRun,
        failure: { error: KnapweedError; generation: { run: GenerationRun; } | undefined; },
    ): Promise<void> {
        if (run.stopReason !== undefined) {
            this.keep(held, run, failure.generation?.run);
            return;
        }
        const { judge, engine } = this.opts;
        judge.failed();
        const isReachable = await engine.load().then(() => true, () => false);
        if (isReachable && judge.isInstanceSuspect && await this.canary.answers(held.item.body["model"])) {
            judge.began();
        }
        const outcome = judge.judge(failure.error, isReachable);
        if (outcome.kind === "failed" && outcome.blame === "instance") {
            this.opts.onEngineTrouble();
        }
        this.opts.metrics.increment("gate.batch-failed", { code: failure.error.code });
        this.finish(held, outcome);
    }

    /** Keeps what a cancelled stream had produced. */
    private keep(held: HeldItem, run: BatchRun, generation: GenerationRun | undefined): void {
        const resumeFrom = generation?.resumePoint() ?? held.resumeFrom;
        const producedTokens = generation?.tokenCount ?? 0;
        this.totals.tokensThrownAway += Math.max(0, producedTokens - (resumeFrom?.tokenCount ?? 0));
        held.resumeFrom = resumeFrom;
        held.run = undefined;
        held.waitingSinceMs = this.opts.clock.nowMs();
        if (run.stream.hasFirstToken) {
            held.isResumed = true;
            held.size = this.opts.estimator.sizeOfResumed(held.size);
        }
        if (run.stopReason !== "preempted") {
            this.giveBack(held);
        }
    }

    private giveBack(held: HeldItem): void {
        this.finish(held, { kind: "returned", resumeFrom: held.resumeFrom });
    }

    private finish(held: HeldItem, outcome: BatchResult["outcome"]): void {
        const { jobId, itemIndex, attempt } = held.item;
        this.held.delete(held.key);
        this.opts.reporter.add({ jobId, itemIndex, attempt, outcome });
        this.opts.metrics.increment("gate.batch-result", { outcome: outcome.kind });
    }
}

interface BatchLaneOptions {
    engine: ModelEngine;
    itemRunner: BatchItemRunner;
    clock: Clock;
    metrics: Metrics;
    estimator: WorkEstimator;
    streams: EngineStreams;
    judge: FailureJudge;
    reporter: ResultReporter;
    /** Called when an item has left the engine. */
    onChange: () => void;
    /** Called when a failure speaks against the engine. */
    onEngineTrouble: () => void;
}

function isGeneration(item: BatchItem): boolean {
    return item.endpoint === "/v1/chat/completions" || item.endpoint === "/v1/completions";
}

function requestOf(item: BatchItem, resumeFrom: ResumePoint | undefined): GenerateRequest {
    return { endpoint: item.endpoint as GenerateRequest["endpoint"], body: item.body, resumeFrom };
}
