import type { Timer } from "@knapweedwood/core.clock/timer";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { applyRunOutcome } from "./applyRunOutcome.js";
import type { BatchCandidate } from "./batchCandidate.js";
import { BatchSlots } from "./batchSlots.js";
import { findFinishedItems } from "./findFinishedItems.js";
import { findItemsToGiveUp } from "./findItemsToGiveUp.js";
import type { HeldJob } from "./heldJob.js";
import { InFlightItems } from "./inFlightItems.js";
import { ItemRoutes } from "./itemRoutes.js";
import type { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import { ItemRunTimeEstimator } from "./itemRunTimeEstimator.js";
import type { ItemsToGiveUp } from "./itemsToGiveUp.js";
import { ItemTraits } from "./itemTraits.js";
import { JobCleanup } from "./jobCleanup.js";
import type { JobItem } from "./jobItem.js";
import { jobKeys } from "./jobKeys.js";
import { JobLoader } from "./jobLoader.js";
import { JobReader } from "./jobReader.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import { JobTable } from "./jobTable.js";
import type { LeaderCount } from "./leaderCount.js";
import { mayBeRemoved } from "./mayBeRemoved.js";
import type { OpenJob } from "./openJob.js";
import { orderStartableItems } from "./orderStartableItems.js";
import { ProgressWriter } from "./progressWriter.js";
import { recordUpstreamHealth } from "./recordUpstreamHealth.js";
import { ResultCommitter } from "./resultCommitter.js";
import { WaitingItemsLog } from "./waitingItemsLog.js";

/** Interval at which items are dispatched when no event triggers it, in milliseconds. */
const DISPATCH_INTERVAL_MS = 50;
/** Time for which triggers are gathered into one dispatch, in milliseconds. Load reports come from every process. */
const DISPATCH_DELAY_MS = 5;
/** Interval at which progress is stored and ended jobs are cleaned up, in milliseconds. */
const CHECKPOINT_INTERVAL_MS = 1500;
/** Minimum progress to store, in events. Less is cheaper to reproduce than to store. */
const MIN_CHECKPOINT_EVENTS = 25;
/** Remaining share of an item's run time below which it waits to be resumed rather than start over elsewhere. */
const KEEP_REMAINING_SHARE = 0.5;

/**
 * Runs the items of all accepted jobs while this process is the leader. Pure functions decide which items start and
 * which are preempted by online requests; this class carries out the decisions.
 */
export class JobRunner {
    readonly reader: JobReader;
    private readonly opts: JobRunnerOptions;
    private readonly table = new JobTable();
    private readonly runTimeEstimator = new ItemRunTimeEstimator();
    private readonly traits: ItemTraits;
    private readonly inFlightItems: InFlightItems;
    private readonly committer: ResultCommitter;
    private readonly progress: ProgressWriter;
    private readonly cleanup: JobCleanup;
    private leadershipController: AbortController | undefined;
    private mirror: PrefixMirror | undefined;
    private isLoaded = false;
    /** Whether the table contains every accepted job, also those that are only held on the disks of other runners. */
    private knowsHeldJobs = false;
    /** The open jobs of this process at the time when it last lost leadership. */
    private previousJobs: OpenJob[] = [];
    private dispatchTimer: Timer | undefined;
    private requestedDispatchTimer: Timer | undefined;
    private checkpointTimer: Timer | undefined;
    private isCheckpointing = false;
    private readonly routes: ItemRoutes;
    private readonly loader: JobLoader;
    private readonly waitingItems: WaitingItemsLog;

    constructor(opts: JobRunnerOptions) {
        this.opts = opts;
        const { leadership } = opts;
        const { table, runTimeEstimator } = this;
        this.routes = new ItemRoutes(opts);
        this.loader = new JobLoader(opts);
        this.traits = new ItemTraits(opts);
        this.inFlightItems = new InFlightItems({
            ...opts,
            runTimeEstimator,
            traits: this.traits,
            onEnded: (job, run, outcome) => this.onRunEnded(job, run, outcome),
        });
        this.committer = new ResultCommitter({ ...opts, onResultsStored: job => this.onResultsStored(job) });
        this.progress = new ProgressWriter({ service: opts.service, leadership });
        this.cleanup = new JobCleanup({ ...opts, leadership, table });
        this.waitingItems = new WaitingItemsLog({
            ...opts,
            routes: this.routes,
            candidateOf: (upstream, nowMs) => this.candidateOf(upstream, nowMs),
            mayRun: (service, item) => this.mayRun(service, item),
        });
        this.reader = new JobReader({
            ...opts,
            table,
            currentFencingNumber: () =>
                this.isLoaded && leadership.isLeading() ? leadership.fence()?.modRevision : undefined,
            reachableSinceMs: () => this.mirror?.reachableSinceMs ?? Infinity,
            knowsHeldJobs: () => this.knowsHeldJobs,
            apply: entries => this.apply(entries),
        });
    }

    /** Starts running jobs. Called when this process has become leader. */
    start(): void {
        const controller = new AbortController();
        this.leadershipController = controller;
        this.mirror = new PrefixMirror({
            ...this.opts,
            prefix: jobKeys.jobsPrefix,
            onSnapshot: entries => void this.load(entries, controller.signal),
            onChange: batch => this.apply(batch.puts),
        });
        void this.mirror.run(controller.signal);
        this.schedulePeriodicDispatch();
        this.scheduleCheckpoint();
    }

    /** Ends all runs. Called when this process has lost leadership. */
    stop(): void {
        this.leadershipController?.abort();
        this.leadershipController = undefined;
        this.pause();
        this.committer.reset();
        this.cleanup.reset();
        this.previousJobs = this.table.clear();
    }

    /** Ends all runs and stores results and progress for the next leader. Rejects if the progress can't be stored. */
    async handOver(): Promise<void> {
        this.pause();
        await this.committer.flush();
        const items = await this.progress.saveAll(this.table.all());
        this.opts.logger.info("jobs-handed-over", { items });
    }

    /** Ends runs whose slots online requests need, and starts items in free slots, within `DISPATCH_DELAY_MS`. */
    requestDispatch(): void {
        if (this.leadershipController !== undefined && this.requestedDispatchTimer === undefined) {
            this.requestedDispatchTimer = this.opts.clock.setTimer(DISPATCH_DELAY_MS, () => {
                this.requestedDispatchTimer = undefined;
                this.dispatch();
            });
        }
    }

    /** Makes sure that jobs written up to `revision` are loaded. */
    catchUp(revision: number): void {
        this.mirror?.catchUp(revision);
    }

    /** Runs a job that is held on disk and is not in the key-value service yet. */
    onHeld(job: HeldJob): void {
        if (this.leadershipController !== undefined) {
            this.openHeld([job]);
            this.requestDispatch();
        }
    }

    /** Returns whether the job is in the table of this process, and so is certain to be accepted. */
    has(jobId: JobId): boolean {
        return this.table.get(jobId) !== undefined;
    }

    /** Whether this process has led since it loaded every accepted job, also those that other runners hold on disks. */
    get knowsAllJobs(): boolean {
        return this.isLoaded && this.knowsHeldJobs;
    }

    /** Returns what this process counts as the leader for a job; undefined unless it leads and knows all jobs. */
    leaderCount(routeName: string, exceptJobId: JobId): LeaderCount | undefined {
        const fence = this.opts.leadership.fence();
        return this.knowsAllJobs && fence !== undefined
            ? {
                fencingNumber: fence.modRevision,
                waitingTokens: this.table.waitingTokens(routeName, exceptJobId),
            }
            : undefined;
    }

    private pause(): void {
        this.isLoaded = false;
        this.knowsHeldJobs = false;
        this.dispatchTimer?.cancel();
        this.requestedDispatchTimer?.cancel();
        this.requestedDispatchTimer = undefined;
        this.checkpointTimer?.cancel();
        this.inFlightItems.endAll();
    }

    /** Applies the stored jobs, then their stored results and the progress that this process has kept. */
    private async load(entries: KeyValueEntry[], signal: AbortSignal): Promise<void> {
        if (signal.aborted) {
            return;
        }
        this.apply(entries);
        const results = this.isLoaded ? undefined : await this.loader.loadResults(signal);
        if (results !== undefined && !this.isLoaded) {
            this.onLoaded(results);
            await this.collectHeldJobs(signal);
        }
    }

    private onLoaded(results: KeyValueEntry[]): void {
        this.table.applyResults(results);
        this.openHeld(this.opts.heldJobs());
        this.table.restoreFrom(this.previousJobs);
        this.previousJobs = [];
        findFinishedItems(this.table.all()).forEach(({ job, item, state }) => this.finish(job, item, state));
        const ended = this.table.all().filter(job => job.isEnded);
        ended.forEach(job => this.cleanup.onEnded(job));
        this.isLoaded = true;
        this.requestDispatch();
        const jobs = this.table.all().length;
        this.opts.logger.info("jobs-loaded", { jobs, open: jobs - ended.length });
    }

    private async collectHeldJobs(signal: AbortSignal): Promise<void> {
        const fencingNumber = this.opts.leadership.fence()?.modRevision;
        if (fencingNumber === undefined) {
            return;
        }
        await this.loader.collectHeldJobs({
            fencingNumber,
            signal,
            onCollected: (jobs, isComplete) => {
                this.openHeld(jobs);
                this.knowsHeldJobs = isComplete;
                this.requestDispatch();
            },
        });
    }

    /** Opens held jobs, except those that may have been removed. These are opened once they are stored. */
    private openHeld(jobs: readonly HeldJob[]): void {
        const opts = { nowMs: this.opts.clock.nowMs(), resultRetentionMs: this.opts.resultRetentionMs() };
        jobs.filter(({ record }) => !mayBeRemoved(record, opts)).forEach(job => this.table.applyHeld(job));
    }

    private apply(entries: KeyValueEntry[]): void {
        this.table.apply(entries).forEach(job => {
            this.opts.logger.info("job-ended", { jobId: job.record.jobId, reason: "cancelled" });
            this.inFlightItems.endJob(job);
            this.onResultsStored(job);
        });
        // The tokens of a job that ended while it was held count as waiting once its delayed write arrives.
        this.table.findEnded(entries).forEach(job => this.cleanup.onEnded(job));
        this.requestDispatch();
    }

    private schedulePeriodicDispatch(): void {
        this.dispatchTimer = this.opts.clock.setTimer(DISPATCH_INTERVAL_MS, () => {
            this.giveUpItems();
            this.dispatch();
            this.waitingItems.report(this.table.all());
            this.schedulePeriodicDispatch();
        });
    }

    private scheduleCheckpoint(): void {
        this.checkpointTimer = this.opts.clock.setTimer(CHECKPOINT_INTERVAL_MS, () => {
            this.scheduleCheckpoint();
            void this.checkpoint();
        });
    }

    private async checkpoint(): Promise<void> {
        if (this.isCheckpointing || !this.isLoaded || !this.opts.leadership.isLeading()) {
            return;
        }
        this.isCheckpointing = true;
        try {
            await this.progress.saveFurthest(this.table.all(), MIN_CHECKPOINT_EVENTS);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.debug("progress-not-stored", { code: error.code, message: error.message });
        }
        await this.cleanup.run();
        this.isCheckpointing = false;
    }

    private dispatch(): void {
        this.inFlightItems.preemptForOnline();
        // A run is harmless even if another process already is the leader: a result counts only once it is written.
        if (this.isLoaded && this.opts.leadership.fence() !== undefined) {
            this.startItems();
        }
    }

    private startItems(): void {
        const nowMs = this.opts.clock.nowMs();
        const slots = new BatchSlots({
            upstreamsOf: service => this.upstreamsForItems(service),
            candidateOf: upstream => this.candidateOf(upstream, nowMs),
        });
        const remainingMs = (item: JobItem) => this.runTimeEstimator.remainingMs(item);
        const totalMs = (item: JobItem) => this.runTimeEstimator.totalMs(item);
        const hasFreeSlot = (job: OpenJob, item: JobItem) => {
            const service = this.routes.serviceOf(job, item);
            return service !== undefined && slots.hasFree(service) && this.mayRun(service, item);
        };
        orderStartableItems(this.table.all(), { nowMs, remainingMs, totalMs, hasFreeSlot }).forEach(({ job, item }) => {
            const keepsEvents = remainingMs(item) < totalMs(item) * KEEP_REMAINING_SHARE;
            const times = { remainingMs: remainingMs(item), leftMs: job.record.dueAtMs - nowMs };
            const upstream = slots.take(this.routes.serviceOf(job, item)!, item, keepsEvents, times);
            const isBlocked = upstream !== undefined
                && this.opts.quarantine.itemBlockedForMs(upstream.service, this.traits.of(job, item)) > 0;
            if (upstream !== undefined && !isBlocked) {
                this.inFlightItems.start(job, item, upstream);
            }
        });
    }

    private mayRun(service: ServiceName, item: JobItem): boolean {
        const { quarantine } = this.opts;
        return !quarantine.isActive || quarantine.itemBlockedForMs(service, this.traits.knownOf(item)) === 0;
    }

    /** Returns the upstreams that may run items. There are none while an online request of the service waits. */
    private upstreamsForItems(service: ServiceName): Upstream[] {
        return this.opts.loadTracker.waitingAtPeers(service) > 0 ? [] : this.opts.directory.ready(service);
    }

    private candidateOf(upstream: Upstream, nowMs: number): BatchCandidate | undefined {
        const isUsable = this.opts.health.isUsable(upstream.id, nowMs, this.inFlightItems.countAt(upstream));
        return isUsable ? this.inFlightItems.candidateOf(upstream) : undefined;
    }

    private onRunEnded(job: OpenJob, run: ItemRun, outcome: ItemRunOutcome): void {
        const { item, upstream } = run;
        const nowMs = this.opts.clock.nowMs();
        this.opts.logger.info("item-run-ended", {
            jobId: job.record.jobId,
            itemId: item.id,
            upstream: upstream.id,
            events: item.lastEventId,
            ending: run.ending,
            ...outcome,
            ...outcome.kind === "broken"
                ? {
                    promptParts: this.traits.promptPartsOf(item),
                    fingerprint: this.traits.fingerprintOf(job, item),
                }
                : {},
        });
        this.opts.metrics.increment("item_runs_total", { outcome: outcome.kind });
        recordUpstreamHealth(this.opts.health, upstream.id, outcome, nowMs);
        const slowness = this.inFlightItems.slownessOf(upstream);
        this.runTimeEstimator.recordRun(run.eventCount, nowMs - run.startedAtMs, slowness);
        if (outcome.kind === "failed") {
            item.failedUpstreamIds.push(upstream.id);
        }
        const decision = applyRunOutcome(item, outcome, { nowMs, maxAttempts: job.record.maxAttempts });
        if (decision !== "retry") {
            this.finish(job, item, decision);
        }
        this.requestDispatch();
    }

    private finish(job: OpenJob, item: JobItem, state: "completed" | "given-up"): void {
        item.state = "finished";
        item.isComplete = state === "completed";
        if (item.isComplete) {
            this.runTimeEstimator.recordOutput(item);
        }
        const output = state === "completed" ? item.events.join("\n") : "";
        this.committer.add(job, { itemId: item.id, state, output });
    }

    /**
     * Gives up items that can't be run any more. Until the stored results are loaded, an item with a result can't be told
     * from one without.
     */
    private giveUpItems(): void {
        if (!this.isLoaded) {
            return;
        }
        const missingSinceMs = (job: OpenJob) => this.routes.missingSinceMs(job.record.jobId);
        findItemsToGiveUp(this.table.all(), { nowMs: this.opts.clock.nowMs(), missingSinceMs })
            .forEach(found => this.giveUp(found));
    }

    private giveUp({ job, items, reason }: ItemsToGiveUp): void {
        const { jobId } = job.record;
        this.opts.logger.info("items-given-up", { jobId, reason, items: items.length, results: job.resultCount });
        items.forEach(item => this.finish(job, item, "given-up"));
    }

    private onResultsStored(job: OpenJob): void {
        if (job.isEnded) {
            this.routes.forget(job.record.jobId);
            this.cleanup.onEnded(job);
        }
    }
}
