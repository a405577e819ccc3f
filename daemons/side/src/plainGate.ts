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

const IDLE_PAUSE_MS = 250;
/** Share of the concurrency limit that batch items leave to online calls. */
const BATCH_SHARE = 0.5;
const COME_BACK_MS = 500;
const SERVICE_UNAVAILABLE = 503;
const DEFAULT_ITEM_TIMEOUT_MS = 60_000;

interface RunningItem {
    item: BatchItem;
    controller: AbortController;
}

/** The gate in front of a plain service: online calls up to an adaptive limit, batch items in a part of what is left. */
export class PlainGate {
    private readonly opts: {
        upstream: Pick<PlainUpstream, "call">;
        batchSource: BatchSource;
        clock: Clock;
        logger: Logger;
    };
    private readonly limit = new GradientConcurrencyLimit();
    private readonly stopping = new AbortController();
    private readonly items = new Set<RunningItem>();
    private onlineRunning = 0;
    private itemTimeoutMs = DEFAULT_ITEM_TIMEOUT_MS;
    private loop: Promise<void> = Promise.resolve();

    constructor(opts: PlainGate["opts"]) {
        this.opts = opts;
    }

    start(): void {
        this.loop = this.run();
    }

    /** @param timeoutMs longest time that an item's call may take; after it, its outcome counts as unknown */
    setItemTimeout(timeoutMs: number): void {
        this.itemTimeoutMs = timeoutMs;
    }

    /** Pulls no more and waits for the items in progress, which may not be repeated. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.loop;
    }

    /** Runs an online call. Throws `SERVICE_OVERLOADED` (`not-run`) beyond the limit. */
    async *runOnline(request: PlainCallRequest, opts: CallOptions): AsyncIterable<PlainFrame> {
        if (!this.limit.tryAcquire()) {
            throw new KnapweedError("SERVICE_OVERLOADED", "The service takes no more calls now", {
                outcome: "not-run",
                statusCode: SERVICE_UNAVAILABLE,
                retryAfterMs: COME_BACK_MS,
            });
        }
        const startedMs = this.opts.clock.nowMs();
        let kind: "success" | "dropped" | "ignored" = "ignored";
        this.onlineRunning += 1;
        try {
            yield* this.opts.upstream.call(request, opts);
            kind = "success";
        }
        catch (thrown) {
            kind = opts.signal.aborted ? "ignored" : "dropped";
            throw thrown;
        }
        finally {
            this.onlineRunning -= 1;
            this.limit.release({ durationMs: this.opts.clock.nowMs() - startedMs, kind });
        }
    }

    /** Stops waiting for the items of a job. */
    cancelJob(jobId: JobId): void {
        [...this.items]
            .filter(running => running.item.jobId === jobId)
            .forEach(running => running.controller.abort());
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const count = await this.pullAndRun().catch((error: unknown) => {
                this.opts.logger.warn("plain-gate.pull-failed", { error: String(error) });
                return 0;
            });
            if (count === 0) {
                await sleep(this.opts.clock, IDLE_PAUSE_MS, this.stopping.signal);
            }
        }
    }

    private async pullAndRun(): Promise<number> {
        const room = Math.floor(this.limit.limit * BATCH_SHARE) - this.onlineRunning;
        const items = room < 1 ? [] : await this.opts.batchSource.pull(room);
        await Promise.all(items.map(item => this.runItem(item)));
        return items.length;
    }

    private async runItem(item: BatchItem): Promise<void> {
        const running = { item, controller: new AbortController() };
        this.items.add(running);
        const timer = this.opts.clock.setTimer(this.itemTimeoutMs, () => running.controller.abort());
        const request = plainItemCall(item);
        const frames = this.opts.upstream.call(request, { body: request.body, signal: running.controller.signal });
        const outcome = await plainItemOutcome(frames);
        timer.cancel();
        this.items.delete(running);
        const { jobId, itemIndex, attempt } = item;
        await this.opts.batchSource.report([{ jobId, itemIndex, attempt, outcome }]);
    }
}
