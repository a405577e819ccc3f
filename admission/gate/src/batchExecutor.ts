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
import { EngineProbe } from "./engineProbe.js";
import type { EngineStreams } from "./engineStreams.js";
import type { FailureClassifier } from "./failureClassifier.js";
import { GenerationRun } from "./generationRun.js";
import type { ResultReporter } from "./resultReporter.js";
import type { StopReason } from "./stopReason.js";
import type { TrackedItem } from "./trackedItem.js";
import type { WorkEstimator } from "./workEstimator.js";

/** Items that have waited longer than this are returned to their owners, so that other instances can run them. */
const MAX_WAIT_MS = 10_000;
const OK = 200;

/** Runs the batch items of one gate and tracks the items that wait for capacity. */
export class BatchExecutor {
    /** Counts since the start. */
    readonly totals = { preemptions: 0, discardedTokens: 0, batchTokens: 0 };
    private readonly opts: BatchExecutorOptions;
    private readonly cancelledJobs = new CancelledJobs();
    private readonly trackedItems = new Map<BatchKey, TrackedItem>();

    private readonly engineProbe: EngineProbe;

    constructor(opts: BatchExecutorOptions) {
        this.opts = opts;
        this.engineProbe = new EngineProbe(opts);
    }

    /** All tracked items, waiting and running, shape [items]. */
    get items(): TrackedItem[] {
        return [...this.trackedItems.values()];
    }

    /** Accepts pulled items. Returns those of cancelled jobs to their owners. @returns the number of items kept */
    add(items: BatchItem[]): number {
        const added = items.map(item => this.track(item));
        const unwanted = added.filter(tracked => this.cancelledJobs.has(tracked.item.jobId));
        unwanted.forEach(tracked => this.returnItem(tracked));
        return added.length - unwanted.length;
    }

    /** Starts the stream of a waiting item. */
    start(key: BatchKey): void {
        const tracked = this.trackedItems.get(key);
        if (tracked !== undefined && tracked.run === undefined) {
            void this.run(tracked);
        }
    }

    /** Cancels the stream of an item. The item stays here with its output so far, to be resumed. */
    preempt(key: BatchKey): void {
        const tracked = this.trackedItems.get(key);
        if (tracked?.run !== undefined) {
            this.totals.preemptions += 1;
            this.opts.metrics.increment("gate.preempted");
            this.stop(tracked.run, "preempted");
        }
    }

    /**
     * Stops all items of a job and returns them to their owners. Its items that arrive later are returned without
     * running.
     */
    cancelJob(jobId: JobId): void {
        this.cancelledJobs.add(jobId);
        this.stopOrReturn(this.items.filter(tracked => tracked.item.jobId === jobId), "cancelled");
    }

    /** Returns items to their owners once they have waited for longer than `MAX_WAIT_MS`. */
    returnStale(): void {
        const nowMs = this.opts.clock.nowMs();
        this.items
            .filter(tracked => tracked.run === undefined && nowMs - tracked.waitingSinceMs > MAX_WAIT_MS)
            .forEach(tracked => this.returnItem(tracked));
    }

    /** Stops all items and returns them to their owners with their output so far. */
    leave(): void {
        this.stopOrReturn(this.items, "leaving");
    }

    private stopOrReturn(items: TrackedItem[], reason: StopReason): void {
        items.forEach(tracked => {
            if (tracked.run === undefined) {
                this.returnItem(tracked);
                return;
            }
            this.stop(tracked.run, reason);
        });
    }

    private stop(run: BatchRun, reason: StopReason): void {
        run.stopReason = reason === "preempted" ? run.stopReason ?? reason : reason;
        run.abort.abort();
        this.opts.streams.streamCancelled(run.stream);
    }

    private track(item: BatchItem): TrackedItem {
        const tracked: TrackedItem = {
            key: `${item.jobId}/${item.itemIndex}/${item.attempt}` as BatchKey,
            item,
            size: this.sizeOf(item),
            resumeFrom: item.resumeFrom,
            isResumed: false,
            waitingSinceMs: this.opts.clock.nowMs(),
            run: undefined,
        };
        this.trackedItems.set(tracked.key, tracked);
        return tracked;
    }

    private sizeOf(item: BatchItem) {
        return isGeneration(item)
            ? this.opts.estimator.sizeOf(requestOf(item, item.resumeFrom))
            : { prefillTokens: 1, kvTokens: 1 };
    }

    private async run(tracked: TrackedItem): Promise<void> {
        const stream = this.opts.streams.open("batch", tracked.size);
        const run: BatchRun = { abort: new AbortController(), stream, producedTokens: 0, stopReason: undefined };
        tracked.run = run;
        const generation = isGeneration(tracked.item) ? this.generationOf(tracked) : undefined;
        try {
            const response = generation === undefined
                ? await this.opts.itemRunner.run(tracked.item, { signal: run.abort.signal })
                : await this.generate(tracked, run, generation);
            this.finish(tracked, { kind: "completed", ...response });
        }
        catch (thrown) {
            this.opts.streams.close(stream);
            await this.fail(tracked, run, { error: toKnapweedError(thrown), generation });
        }
        finally {
            this.opts.streams.close(stream);
            this.opts.onChange();
        }
    }

    private generationOf(tracked: TrackedItem): { request: GenerateRequest; run: GenerationRun; } {
        const request = requestOf(tracked.item, tracked.resumeFrom);
        const answerId = `${tracked.item.jobId}-${tracked.item.itemIndex}`;
        return { request, run: new GenerationRun({ request, answerId, clock: this.opts.clock }) };
    }

    private async generate(
        tracked: TrackedItem,
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
                this.opts.estimator.recordUsage(generation.request, tracked.size, event.usage);
            }
        }
        return { statusCode: OK, body: generation.run.response() };
    }

    private async fail(
        tracked: TrackedItem,
        run: BatchRun,
        failure: { error: KnapweedError; generation: { run: GenerationRun; } | undefined; },
    ): Promise<void> {
        if (run.stopReason !== undefined) {
            this.handleStopped(tracked, run, failure.generation?.run);
            return;
        }
        const { failureClassifier, engine } = this.opts;
        failureClassifier.attemptFailed();
        const isReachable = await engine.load().then(() => true, () => false);
        if (
            isReachable && failureClassifier.isInstanceSuspect
            && await this.engineProbe.isServing(tracked.item.body["model"])
        ) {
            failureClassifier.engineResponded();
        }
        const outcome = failureClassifier.classify(failure.error, isReachable);
        if (outcome.kind === "failed" && outcome.blame === "instance") {
            this.opts.onInstanceBlamed();
        }
        this.opts.metrics.increment("gate.batch-failed", { code: failure.error.code });
        this.finish(tracked, outcome);
    }

    /** Keeps the output of a cancelled stream. Returns the item to its owner unless it was preempted. */
    private handleStopped(tracked: TrackedItem, run: BatchRun, generation: GenerationRun | undefined): void {
        const resumeFrom = generation?.resumePoint() ?? tracked.resumeFrom;
        const producedTokens = generation?.tokenCount ?? 0;
        this.totals.discardedTokens += Math.max(0, producedTokens - (resumeFrom?.tokenCount ?? 0));
        tracked.resumeFrom = resumeFrom;
        tracked.run = undefined;
        tracked.waitingSinceMs = this.opts.clock.nowMs();
        if (run.stream.hasFirstToken) {
            tracked.isResumed = true;
            tracked.size = this.opts.estimator.sizeOfResumed(tracked.size);
        }
        if (run.stopReason !== "preempted") {
            this.returnItem(tracked);
        }
    }

    private returnItem(tracked: TrackedItem): void {
        this.finish(tracked, { kind: "returned", resumeFrom: tracked.resumeFrom });
    }

    private finish(tracked: TrackedItem, outcome: BatchResult["outcome"]): void {
        const { jobId, itemIndex, attempt } = tracked.item;
        this.trackedItems.delete(tracked.key);
        this.opts.reporter.add({ jobId, itemIndex, attempt, outcome });
        this.opts.metrics.increment("gate.batch-result", { outcome: outcome.kind });
    }
}

interface BatchExecutorOptions {
    engine: ModelEngine;
    itemRunner: BatchItemRunner;
    clock: Clock;
    metrics: Metrics;
    estimator: WorkEstimator;
    streams: EngineStreams;
    failureClassifier: FailureClassifier;
    reporter: ResultReporter;
    /** Called when the stream of an item has ended. */
    onChange: () => void;
    /** Called when a failure is blamed on the instance. */
    onInstanceBlamed: () => void;
}

function isGeneration(item: BatchItem): boolean {
    return item.endpoint === "/v1/chat/completions" || item.endpoint === "/v1/completions";
}

function requestOf(item: BatchItem, resumeFrom: ResumePoint | undefined): GenerateRequest {
    return { endpoint: item.endpoint as GenerateRequest["endpoint"], body: item.body, resumeFrom };
}
