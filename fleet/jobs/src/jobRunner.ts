import type { Timer } from "@knapweedwood/core.clock/timer";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { chooseBatchUpstream } from "./chooseBatchUpstream.js";
import { chooseRunsToEnd } from "./chooseRunsToEnd.js";
import type { HeldJob } from "./heldJob.js";
import { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { JobItem } from "./jobItem.js";
import { jobKeys } from "./jobKeys.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import { JobTable } from "./jobTable.js";
import type { OpenJob } from "./openJob.js";
import { orderOfItems } from "./orderOfItems.js";
import { ProgressKeeper } from "./progressKeeper.js";
import { releaseWaitingTokens } from "./releaseWaitingTokens.js";
import { ResultCommitter } from "./resultCommitter.js";
import type { ResultsPage } from "./resultsPage.js";

/** How often items are placed where nothing else prompts it, in milliseconds. */
const PUMP_INTERVAL_MS = 50;
/** Pause before an item that failed runs again, in milliseconds. */
const RETRY_DELAY_MS = 300;
/** Time after an outage in which jobs that were held on disks are written, in milliseconds. */
const HELD_JOBS_SETTLE_MS = 4000;
const NOT_RUN_DELAY_MS = 50;
/** Time for which a route has to be gone before its items are given up, in milliseconds. */
const ROUTE_GONE_MS = 3000;
/** How often the progress of running items is stored, in milliseconds. */
const CHECKPOINT_INTERVAL_MS = 1500;
/** Progress below this is cheaper to make again than to store, in events. */
const MIN_CHECKPOINT_EVENTS = 25;

interface Flight {
    job: OpenJob;
    run: ItemRun;
}

/**
 * Runs the items of all accepted jobs while this process leads. Which items start and which give way to online requests
 * is decided by pure functions; this class carries the decisions out.
 */
export class JobRunner {
    private readonly opts: JobRunnerOptions;
    private readonly table = new JobTable();
    private readonly committer: ResultCommitter;
    private readonly progress: ProgressKeeper;
    private flights: Flight[] = [];
    private leading: AbortController | undefined;
    private mirror: PrefixMirror | undefined;
    private isLoaded = false;
    /** Open jobs as this process knew them when it last lost the lead. */
    private earlierJobs: OpenJob[] = [];
    private pumpTimer: Timer | undefined;
    private checkpointTimer: Timer | undefined;
    private readonly routeGoneSinceMs = new Map<JobId, number>();

    constructor(opts: JobRunnerOptions) {
        this.opts = opts;
        this.committer = new ResultCommitter({ ...opts, onListed: job => void this.onListed(job) });
        this.progress = new ProgressKeeper({ service: opts.service, lead: opts.leadership });
    }

    /** Begins to run jobs: called when this process has gained the lead. */
    begin(): void {
        const leading = new AbortController();
        this.leading = leading;
        this.mirror = new PrefixMirror({
            ...this.opts,
            prefix: jobKeys.jobsPrefix,
            onSnapshot: entries => void this.load(entries, leading.signal),
            onChange: batch => this.apply(batch.puts),
        });
        void this.mirror.run(leading.signal);
        this.schedulePump();
        this.scheduleCheckpoint();
    }

    /** Ends all runs: called when this process has lost the lead. */
    stop(): void {
        this.leading?.abort();
        this.leading = undefined;
        this.isLoaded = false;
        this.pumpTimer?.cancel();
        this.checkpointTimer?.cancel();
        this.flights.forEach(flight => this.end(flight));
        this.committer.reset();
        this.earlierJobs = this.table.clear();
    }

    /** Stores how far the items have come, so that the next leader goes on from there. */
    async handOver(): Promise<void> {
        this.pumpTimer?.cancel();
        this.checkpointTimer?.cancel();
        this.flights.forEach(flight => this.end(flight));
        this.isLoaded = false;
        await this.committer.flush();
        const items = await this.progress.saveAll(this.table.all());
        this.opts.logger.info("jobs-handed-over", { items });
    }

    /** Starts items where there is room and ends runs where online requests want the slots. */
    pump(): void {
        this.endDisplacedRuns();
        // A run does no harm where another process leads already; a result counts only once it is written.
        if (this.isLoaded && this.opts.leadership.fence() !== undefined) {
            this.startItems();
        }
    }

    /** Makes sure that jobs written up to `revision` are known. */
    catchUp(revision: number): void {
        this.mirror?.catchUp(revision);
    }

    /** Runs a job that is held on disk and can't be stored yet. */
    onHeld(job: HeldJob): void {
        if (this.leading !== undefined) {
            this.table.applyHeld(job);
            this.pump();
        }
    }

    /**
     * Reads results, waiting up to `waitMs` for the first. @returns undefined where there certainly is no such job
     *
     * Throws `JOBS_NOT_LED` where this process can't be sure.
     */
    async results(
        opts: { jobId: JobId; after: number; waitMs: number; signal: AbortSignal; },
    ): Promise<ResultsPage | undefined> {
        const job = await this.find(opts.jobId);
        if (job === undefined) {
            return undefined;
        }
        if (job.resultCount <= opts.after && !job.isEnded && opts.waitMs > 0) {
            await this.waitForResult(job, opts.waitMs, opts.signal);
        }
        this.assertLeading();
        return job.page(opts.after);
    }

    /** @returns undefined where there certainly is no such item. Throws `JOBS_NOT_LED` where this can't be told. */
    async itemBody(jobId: JobId, itemId: ItemId): Promise<Buffer | undefined> {
        const job = await this.find(jobId);
        const item = job?.item(itemId);
        return item === undefined ? undefined : job!.bodyOf(item);
    }

    private async find(jobId: JobId): Promise<OpenJob | undefined> {
        this.assertLeading();
        const known = this.table.get(jobId);
        if (known?.isLoaded === true) {
            return known;
        }
        // The watch may lag behind an acceptance.
        const record = await this.opts.service.get(jobKeys.record(jobId));
        if (record === undefined) {
            this.assertSettled();
            return undefined;
        }
        const { entries } = await this.opts.service.snapshot(jobKeys.jobPrefix(jobId));
        this.apply(entries);
        this.assertLeading();
        return this.table.get(jobId);
    }

    /** After an outage jobs that were held on disks are written within moments. */
    private assertSettled(): void {
        const inTouchSinceMs = this.mirror?.inTouchSinceMs ?? Infinity;
        if (this.opts.clock.nowMs() < inTouchSinceMs + HELD_JOBS_SETTLE_MS) {
            throw new KnapweedError("JOBS_NOT_SETTLED", "Jobs held during an outage may not be written yet", {
                outcome: "not-run",
            });
        }
    }

    private assertLeading(): void {
        if (!this.isLoaded || !this.opts.leadership.isLeading()) {
            throw new KnapweedError("JOBS_NOT_LED", "This process does not run jobs now", { outcome: "not-run" });
        }
    }

    private waitForResult(job: OpenJob, waitMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                timer.cancel();
                takeBack();
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const timer = this.opts.clock.setTimer(waitMs, finish);
            const takeBack = job.onResult(finish);
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    private async load(entries: Parameters<JobTable["apply"]>[0], signal: AbortSignal): Promise<void> {
        this.apply(entries);
        while (!this.isLoaded && !signal.aborted) {
            try {
                const results = await this.opts.service.snapshot(jobKeys.resultsPrefix);
                if (signal.aborted) {
                    return;
                }
                this.table.applyResults(results.entries);
                this.opts.heldJobs().forEach(job => this.table.applyHeld(job));
                this.table.restoreFrom(this.earlierJobs);
                this.earlierJobs = [];
                this.finishComplete();
                this.isLoaded = true;
                this.opts.logger.info("jobs-loaded", {
                    jobs: this.table.all().length,
                    open: this.table.all().filter(job => !job.isEnded).length,
                    revision: results.revision,
                });
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.opts.logger.warn("jobs-load-failed", { code: error.code, message: error.message });
                await new Promise<void>(resolve => this.opts.clock.setTimer(RETRY_DELAY_MS, resolve));
            }
        }
        this.pump();
    }

    private apply(entries: Parameters<JobTable["apply"]>[0]): void {
        this.table.apply(entries).forEach(job => {
            this.opts.logger.info("job-ended", { jobId: job.record.jobId, reason: "cancelled" });
            this.flights.filter(flight => flight.job === job).forEach(flight => this.end(flight));
            void this.onListed(job);
        });
        this.pump();
    }

    private schedulePump(): void {
        this.pumpTimer = this.opts.clock.setTimer(PUMP_INTERVAL_MS, () => {
            this.giveUpExpired();
            this.pump();
            this.schedulePump();
        });
    }

    private scheduleCheckpoint(): void {
        this.checkpointTimer = this.opts.clock.setTimer(CHECKPOINT_INTERVAL_MS, () => {
            this.scheduleCheckpoint();
            void this.checkpoint();
        });
    }

    private async checkpoint(): Promise<void> {
        if (!this.isLoaded || !this.opts.leadership.isLeading()) {
            return;
        }
        try {
            await this.progress.saveFurthest(this.table.all(), MIN_CHECKPOINT_EVENTS);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.debug("progress-not-stored", { code: error.code, message: error.message });
        }
    }

    private endDisplacedRuns(): void {
        const runs = this.flights.map(flight => ({
            flight,
            upstreamId: flight.run.upstream.id,
            dueAtMs: flight.job.record.dueAtMs,
            startedAtMs: flight.run.startedAtMs,
        }));
        [...new Set(this.flights.map(flight => flight.run.upstream))]
            .flatMap(upstream => chooseRunsToEnd(this.toCandidate(upstream), runs))
            .forEach(({ flight }) => {
                this.opts.logger.info("item-displaced", {
                    jobId: flight.job.record.jobId,
                    itemId: flight.run.item.id,
                    upstream: flight.run.upstream.id,
                    online: this.opts.board.online(flight.run.upstream.id),
                    events: flight.run.item.lastEventId,
                });
                this.end(flight);
            });
    }

    private startItems(): void {
        const nowMs = this.opts.clock.nowMs();
        const waiting = orderOfItems(this.table.all(), nowMs);
        if (waiting.length === 0) {
            return;
        }
        const full = new Set<string>();
        waiting.forEach(({ job, item }) => {
            const service = this.serviceOf(job, item);
            if (service === undefined || full.has(service)) {
                return;
            }
            const candidates = this.opts.directory
                .ready(service)
                .filter(upstream => this.opts.health.isUsable(upstream.id, nowMs, this.runsAt(upstream)))
                .map(upstream => this.toCandidate(upstream));
            const chosen = this.opts.board.waitingElsewhere(service) > 0 ? undefined : chooseBatchUpstream(candidates);
            if (chosen === undefined) {
                full.add(service);
                return;
            }
            this.start(job, item, chosen.upstream);
        });
    }

    private serviceOf(job: OpenJob, item: JobItem) {
        const path = item.record.path.split("?", 1)[0]!;
        const route = this.opts.configuration.match(job.record.host, path);
        if (route?.kind === "batch") {
            this.routeGoneSinceMs.delete(job.record.jobId);
            return route.services[0]?.service;
        }
        if (this.opts.configuration.current !== undefined && !this.routeGoneSinceMs.has(job.record.jobId)) {
            this.routeGoneSinceMs.set(job.record.jobId, this.opts.clock.nowMs());
        }
        return undefined;
    }

    private start(job: OpenJob, item: JobItem, upstream: Upstream): void {
        item.state = "running";
        this.opts.board.count(upstream.id, "batch", 1);
        this.opts.onLoadChanged();
        const run: ItemRun = new ItemRun({
            clock: this.opts.clock,
            headers: this.opts.headers,
            item,
            upstream,
            onEnded: outcome => this.onRunEnded(flight, outcome),
        });
        const flight: Flight = { job, run };
        this.flights.push(flight);
        this.opts.logger.info("item-started", {
            jobId: job.record.jobId,
            itemId: item.id,
            upstream: upstream.id,
            resumedAfter: item.lastEventId,
            online: this.opts.board.online(upstream.id),
            batch: this.opts.board.batch(upstream.id),
        });
        run.start(this.opts.connections, { host: job.record.host, body: job.bodyOf(item) });
    }

    /** Ends a run; the item waits to be resumed. */
    private end(flight: Flight): void {
        flight.run.abort();
        this.release(flight);
    }

    private release(flight: Flight): void {
        if (!this.flights.includes(flight)) {
            return;
        }
        this.flights = this.flights.filter(other => other !== flight);
        this.opts.board.count(flight.run.upstream.id, "batch", -1);
        this.opts.onLoadChanged();
        if (flight.run.item.state === "running") {
            flight.run.item.state = "pending";
        }
    }

    private onRunEnded(flight: Flight, outcome: ItemRunOutcome): void {
        const { job, run } = flight;
        const { item } = run;
        const nowMs = this.opts.clock.nowMs();
        this.release(flight);
        this.opts.logger.info("item-run-ended", {
            jobId: job.record.jobId,
            itemId: item.id,
            upstream: run.upstream.id,
            events: item.lastEventId,
            ...outcome,
        });
        this.judge(run.upstream, outcome, nowMs);
        this.settle(job, item, outcome, nowMs);
        this.pump();
    }

    private judge(upstream: Upstream, outcome: ItemRunOutcome, nowMs: number): void {
        if (outcome.kind === "broken" || outcome.kind === "garbled") {
            this.opts.health.onFailure(upstream.id, nowMs);
        }
        else if (outcome.kind === "not-run" && outcome.isMisdirected) {
            this.opts.health.onMisdirected(upstream.id, nowMs);
        }
        else {
            this.opts.health.onSuccess(upstream.id, nowMs);
        }
    }

    private settle(job: OpenJob, item: JobItem, outcome: ItemRunOutcome, nowMs: number): void {
        switch (outcome.kind) {
            case "completed":
                this.finish(job, item, "completed");
                return;
            case "impossible":
                this.finish(job, item, "given-up");
                return;
            case "failed":
                item.failedAttempts += 1;
                item.notBeforeMs = nowMs + RETRY_DELAY_MS;
                if (item.failedAttempts >= job.record.maxAttempts) {
                    this.finish(job, item, "given-up");
                }
                return;
            case "garbled":
                item.events = [];
                item.lastEventId = 0;
                item.notBeforeMs = nowMs + RETRY_DELAY_MS;
                return;
            case "broken":
            case "not-run":
                item.notBeforeMs = nowMs + NOT_RUN_DELAY_MS;
        }
    }

    /** Finishes items whose whole output was carried over. */
    private finishComplete(): void {
        this.table.all().filter(job => !job.isEnded).forEach(job =>
            job.items
                .filter(item => item.state === "pending" && item.isComplete)
                .forEach(item => this.finish(job, item, "completed"))
        );
    }

    private finish(job: OpenJob, item: JobItem, state: "completed" | "given-up"): void {
        item.state = "finished";
        item.isComplete = state === "completed";
        const output = state === "completed" ? item.events.join("\n") : "";
        this.committer.add(job, { itemId: item.id, state, output });
    }

    private giveUpExpired(): void {
        const nowMs = this.opts.clock.nowMs();
        this.table.all().filter(job => !job.isEnded).forEach(job => {
            const goneSinceMs = this.routeGoneSinceMs.get(job.record.jobId) ?? Infinity;
            if (nowMs > job.record.expiresAtMs || nowMs > goneSinceMs + ROUTE_GONE_MS) {
                job.items.filter(item => item.state === "pending").forEach(item => this.finish(job, item, "given-up"));
            }
        });
    }

    private async onListed(job: OpenJob): Promise<void> {
        if (!job.isEnded) {
            return;
        }
        this.routeGoneSinceMs.delete(job.record.jobId);
        try {
            await releaseWaitingTokens(this.opts.service, job.record);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.warn("waiting-tokens-kept", { jobId: job.record.jobId, code: error.code });
        }
    }

    private toCandidate(upstream: Upstream): BatchCandidate {
        return {
            upstream,
            online: this.opts.board.online(upstream.id),
            batch: this.opts.board.batch(upstream.id),
        };
    }

    private runsAt(upstream: Upstream): number {
        return this.flights.filter(flight => flight.run.upstream.id === upstream.id).length;
    }
}
