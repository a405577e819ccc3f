import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { PlainCallRequest } from "@knapweedwood/daemons.inference/plainCallRequest";
import type { PlainFrame } from "@knapweedwood/daemons.inference/plainFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { GradientConcurrencyLimit } from "@knapweedwood/routing.limits/gradientConcurrencyLimit";
import { plainItemCall } from "./plainItemCall.js";
import { plainItemOutcome } from "./plainItemOutcome.js";
import type { PlainUpstream } from "./plainUpstream.js";

type CallOptions = Parameters<PlainUpstream["call"]>[1];

const IDLE_PULL_INTERVAL_MS = 250;
/** Share of the concurrency limit up to which batch items are pulled. The rest is reserved for online calls. */
const BATCH_LIMIT_SHARE = 0.5;
/** Number of calls up to which items are pulled even if that share of the limit is less than one call. */
const MIN_BATCH_LIMIT = 1;
const RETRY_AFTER_MS = 500;
const HTTP_SERVICE_UNAVAILABLE = 503;
const DEFAULT_ITEM_TIMEOUT_MS = 60_000;

interface RunningItem {
    item: BatchItem;
    controller: AbortController;
}

/**
 * The gate in front of a plain service. Runs online calls up to an adaptive concurrency limit. Batch items may use a
 * share of that limit, minus the number of online calls in progress.
 */
export class PlainGate {
    private readonly opts: {
        upstream: Pick<PlainUpstream, "call">;
        batchSource: BatchSource;
        clock: Clock;
        logger: Logger;
    };
    private readonly concurrencyLimit = new GradientConcurrencyLimit();
    private readonly stopping = new AbortController();
    private readonly runningItems = new Set<RunningItem>();
    private onlineCallCount = 0;
    private itemTimeoutMs = DEFAULT_ITEM_TIMEOUT_MS;
    private pullLoop: Promise<void> = Promise.resolve();

    constructor(opts: PlainGate["opts"]) {
        this.opts = opts;
    }

    start(): void {
        this.pullLoop = this.run();
    }

    /**
     * Sets the maximum duration of an item's call, in milliseconds. A longer call is aborted, with outcome `unknown`.
     */
    setItemTimeout(timeoutMs: number): void {
        this.itemTimeoutMs = timeoutMs;
    }

    /** Stops pulling and waits for the items in progress, because they may not be repeatable. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.pullLoop;
    }

    /** Runs an online call. Throws `SERVICE_OVERLOADED` (`not-run`) if the concurrency limit is reached. */
    async *runOnline(request: PlainCallRequest, opts: CallOptions): AsyncIterable<PlainFrame> {
        if (!this.concurrencyLimit.tryAcquire()) {
            throw new KnapweedError("SERVICE_OVERLOADED", "The service has reached its concurrency limit", {
                outcome: "not-run",
                statusCode: HTTP_SERVICE_UNAVAILABLE,
                retryAfterMs: RETRY_AFTER_MS,
            });
        }
        const startedMs = this.opts.clock.nowMs();
        let kind: "success" | "dropped" | "ignored" = "ignored";
        this.onlineCallCount += 1;
        try {
            yield* this.opts.upstream.call(request, opts);
            kind = "success";
        }
        catch (thrown) {
            kind = opts.signal.aborted ? "ignored" : "dropped";
            throw thrown;
        }
        finally {
            this.onlineCallCount -= 1;
            this.concurrencyLimit.release({ durationMs: this.opts.clock.nowMs() - startedMs, kind });
        }
    }

    /** Aborts the calls of a cancelled job's items. */
    cancelJob(jobId: JobId): void {
        [...this.runningItems]
            .filter(runningItem => runningItem.item.jobId === jobId)
            .forEach(runningItem => runningItem.controller.abort());
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const count = await this.pullAndRun().catch((error: unknown) => {
                this.opts.logger.warn("plain-gate-pull-failed", { error: String(error) });
                return 0;
            });
            if (count === 0) {
                await sleep(this.opts.clock, IDLE_PULL_INTERVAL_MS, this.stopping.signal);
            }
        }
    }

    private async pullAndRun(): Promise<number> {
        const batchLimit = Math.max(MIN_BATCH_LIMIT, Math.floor(this.concurrencyLimit.limit * BATCH_LIMIT_SHARE));
        const freeSlots = batchLimit - this.onlineCallCount;
        const items = freeSlots < 1 ? [] : await this.opts.batchSource.pull(freeSlots);
        await Promise.all(items.map(item => this.runItem(item)));
        return items.length;
    }

    private async runItem(item: BatchItem): Promise<void> {
        const runningItem = { item, controller: new AbortController() };
        this.runningItems.add(runningItem);
        const timer = this.opts.clock.setTimer(this.itemTimeoutMs, () => runningItem.controller.abort());
        const request = plainItemCall(item);
        const frames = this.opts.upstream.call(request, { body: request.body, signal: runningItem.controller.signal });
        const outcome = await plainItemOutcome(frames);
        timer.cancel();
        this.runningItems.delete(runningItem);
        const { jobId, itemIndex, attempt } = item;
        await this.opts.batchSource.report([{ jobId, itemIndex, attempt, outcome }]);
    }
}
