import type { Timer } from "@knapweedwood/core.clock/timer";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { chooseBatchUpstream } from "./chooseBatchUpstream.js";
import type { HeldJob } from "./heldJob.js";
import { ItemFlights } from "./itemFlights.js";
import type { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import { ItemRunTimes } from "./itemRunTimes.js";
import type { JobItem } from "./jobItem.js";
import { jobKeys } from "./jobKeys.js";
import { JobReads } from "./jobReads.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import { JobSweep } from "./jobSweep.js";
import { JobTable } from "./jobTable.js";
import type { OpenJob } from "./openJob.js";
import { orderOfItems } from "./orderOfItems.js";
import { ProgressKeeper } from "./progressKeeper.js";
import { ResultCommitter } from "./resultCommitter.js";
import { settleRun } from "./settleRun.js";

/** How often items are placed where nothing else prompts it, in milliseconds. */
const PUMP_INTERVAL_MS = 50;
/** Pause before stored jobs are read again after a failure, in milliseconds. */
const LOAD_RETRY_DELAY_MS = 300;
/** Time for which a route has to be gone before its items are given up, in milliseconds. */
const ROUTE_GONE_MS = 3000;
/** How often progress is stored and ended jobs are cleared up, in milliseconds. */
const CHECKPOINT_INTERVAL_MS = 1500;
/** Progress below this is cheaper to make again than to store, in events. */
const MIN_CHECKPOINT_EVENTS = 25;

/**
 * Runs the items of all accepted jobs while this process leads. Which items start and which give way to online requests
 * is decided by pure functions; this class carries the decisions out.
 */
export class JobRunner {
    readonly reads: JobReads;
    private readonly opts: JobRunnerOptions;
    private readonly table = new JobTable();
    private readonly runTimes = new ItemRunTimes();
    private readonly flights: ItemFlights;
    private readonly committer: ResultCommitter;
    private readonly progress: ProgressKeeper;
    private readonly sweep: JobSweep;
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
        const { leadership: lead } = opts;
        const { table } = this;
        const { runTimes } = this;
        this.flights = new ItemFlights({
            ...opts,
            runTimes,
            onEnded: (job, run, outcome) => this.onRunEnded(job, run, outcome),
        });
        this.committer = new ResultCommitter({ ...opts, onListed: job => this.onListed(job) });
        this.progress = new ProgressKeeper({ service: opts.service, lead });
        this.sweep = new JobSweep({ ...opts, lead, table });
        this.reads = new JobReads({
            ...opts,
            table,
            isCurrent: () => this.isLoaded && lead.isLeading(),
            inTouchSinceMs: () => this.mirror?.inTouchSinceMs ?? Infinity,
            apply: entries => this.apply(entries),
        });
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
        this.pause();
        this.committer.reset();
        this.sweep.reset();
        this.earlierJobs = this.table.clear();
    }

    /** Stores how far the items have come, so that the next leader goes on from there. */
    async handOver(): Promise<void> {
        this.pause();
        await this.committer.flush();
        const items = await this.progress.saveAll(this.table.all());
        this.opts.logger.info("jobs-handed-over", { items });
    }

    /** Starts items where there is room and ends runs where online requests want the slots. */
    pump(): void {
        this.flights.endDisplaced();
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

    /** Whether the job is known to be accepted. */
    knows(jobId: JobId): boolean {
        return this.table.get(jobId) !== undefined;
    }

    /** Tokens that wait on a route beside those of one job; undefined where this process doesn't know. */
    waitingTokens(routeName: string, exceptJobId: JobId): number | undefined {
        return this.isLoaded && this.opts.leadership.fence() !== undefined
            ? this.table.waitingTokens(routeName, exceptJobId)
            : undefined;
    }

    private pause(): void {
        this.isLoaded = false;
        this.pumpTimer?.cancel();
        this.checkpointTimer?.cancel();
        this.flights.endAll();
    }

    /** Takes in the stored jobs, then what is stored and known of their results. */
    private async load(entries: KeyValueEntry[], signal: AbortSignal): Promise<void> {
        this.apply(entries);
        while (!this.isLoaded && !signal.aborted) {
            try {
                const results = await this.opts.service.snapshot(jobKeys.resultsPrefix);
                if (!signal.aborted) {
                    this.onLoaded(results.entries);
                }
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.opts.logger.warn("jobs-load-failed", { code: error.code, message: error.message });
                await new Promise<void>(resolve => this.opts.clock.setTimer(LOAD_RETRY_DELAY_MS, resolve));
            }
        }
        this.pump();
    }

    private onLoaded(results: KeyValueEntry[]): void {
        this.table.applyResults(results);
        this.opts.heldJobs().forEach(job => this.table.applyHeld(job));
        this.table.restoreFrom(this.earlierJobs);
        this.earlierJobs = [];
        this.finishComplete();
        const ended = this.table.all().filter(job => job.isEnded);
        ended.forEach(job => this.sweep.onEnded(job));
        this.isLoaded = true;
        const jobs = this.table.all().length;
        this.opts.logger.info("jobs-loaded", { jobs, open: jobs - ended.length });
    }

    private apply(entries: KeyValueEntry[]): void {
        this.table.apply(entries).forEach(job => {
            this.opts.logger.info("job-ended", { jobId: job.record.jobId, reason: "cancelled" });
            this.flights.endJob(job);
            this.onListed(job);
        });
        // A job that ended while it was held on disks counts as waiting from its late write on.
        this.table.endedAmong(entries).forEach(job => this.sweep.onEnded(job));
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
        await this.sweep.run();
    }

    private startItems(): void {
        const nowMs = this.opts.clock.nowMs();
        const full = new Set<ServiceName>();
        const remainingMs = (item: JobItem) => this.runTimes.remainingMs(item);
        orderOfItems(this.table.all(), { nowMs, remainingMs }).forEach(({ job, item }) => {
            const service = this.serviceOf(job, item);
            if (service === undefined || full.has(service)) {
                return;
            }
            const candidates = this.candidates(service, nowMs);
            const upstream = chooseBatchUpstream(candidates, item.failedAt)?.upstream;
            if (upstream === undefined) {
                full.add(service);
                return;
            }
            this.flights.start(job, item, upstream);
        });
    }

    /** No item starts while an online request of the service waits. */
    private candidates(service: ServiceName, nowMs: number): BatchCandidate[] {
        if (this.opts.board.waitingAtPeers(service) > 0) {
            return [];
        }
        return this.opts.directory
            .ready(service)
            .filter(upstream => this.opts.health.isUsable(upstream.id, nowMs, this.flights.countAt(upstream)))
            .map(upstream => this.flights.candidateOf(upstream));
    }

    private serviceOf(job: OpenJob, item: JobItem): ServiceName | undefined {
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

    private onRunEnded(job: OpenJob, run: ItemRun, outcome: ItemRunOutcome): void {
        const { item, upstream } = run;
        const nowMs = this.opts.clock.nowMs();
        this.opts.logger.info("item-run-ended", {
            jobId: job.record.jobId,
            itemId: item.id,
            upstream: upstream.id,
            events: item.lastEventId,
            ...outcome,
        });
        this.opts.metrics.increment("item_runs_total", { outcome: outcome.kind });
        this.judge(upstream, outcome, nowMs);
        this.runTimes.recordRun(run.eventCount, nowMs - run.startedAtMs);
        if (outcome.kind === "failed") {
            item.failedAt.push(upstream.id);
        }
        const settled = settleRun(item, outcome, { nowMs, maxAttempts: job.record.maxAttempts });
        if (settled !== "again") {
            this.finish(job, item, settled);
        }
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
        if (item.isComplete) {
            this.runTimes.recordOutput(item.lastEventId);
        }
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

    private onListed(job: OpenJob): void {
        if (job.isEnded) {
            this.routeGoneSinceMs.delete(job.record.jobId);
            this.sweep.onEnded(job);
        }
    }
}
