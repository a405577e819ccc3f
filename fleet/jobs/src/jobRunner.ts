import type { Timer } from "@knapweedwood/core.clock/timer";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { CoalescedTask } from "./coalescedTask.js";
import { findFinishedItems } from "./findFinishedItems.js";
import type { HeldJob } from "./heldJob.js";
import { InFlightItems } from "./inFlightItems.js";
import { ItemDispatcher } from "./itemDispatcher.js";
import { ItemOutcomes } from "./itemOutcomes.js";
import { ItemRoutes } from "./itemRoutes.js";
import { ItemRunTimeEstimator } from "./itemRunTimeEstimator.js";
import { ItemTraits } from "./itemTraits.js";
import { JobCheckpoints } from "./jobCheckpoints.js";
import { JobCleanup } from "./jobCleanup.js";
import { jobKeys } from "./jobKeys.js";
import { JobLoader } from "./jobLoader.js";
import { JobReader } from "./jobReader.js";
import type { JobRecord } from "./jobRecord.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import { JobTable } from "./jobTable.js";
import type { LeaderCount } from "./leaderCount.js";
import { mayBeRemoved } from "./mayBeRemoved.js";
import type { OpenJob } from "./openJob.js";
import { ProgressWriter } from "./progressWriter.js";
import { ResultCommitter } from "./resultCommitter.js";
import type { TokenGroup } from "./tokenGroup.js";
import { WaitingItemsLog } from "./waitingItemsLog.js";

/** Interval at which items are dispatched when no event triggers it, in milliseconds. */
const DISPATCH_INTERVAL_MS = 50;
/** Mean wait of a watch call, in milliseconds. Only the leader watches the jobs. */
const WATCH_WAIT_MS = 20_000;
/** Time for which triggers are gathered into one dispatch, in milliseconds. Load reports come from every process. */
const DISPATCH_DELAY_MS = 5;

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
    private readonly dispatcher: ItemDispatcher;
    private readonly outcomes: ItemOutcomes;
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
    private readonly routes: ItemRoutes;
    private readonly loader: JobLoader;
    private readonly checkpoints: JobCheckpoints;
    private readonly waitingItems: WaitingItemsLog;
    private readonly heldJobsCollection = new CoalescedTask(() => this.collectHeldJobsOnce());

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
            onEnded: (job, run, outcome) => {
                this.outcomes.onRunEnded(job, run, outcome);
                this.requestDispatch();
            },
        });
        this.committer = new ResultCommitter({ ...opts, onResultsStored: job => this.onResultsStored(job) });
        const shared = { ...opts, table, runTimeEstimator, routes: this.routes, traits: this.traits };
        this.dispatcher = new ItemDispatcher({ ...shared, inFlightItems: this.inFlightItems });
        this.outcomes = new ItemOutcomes({
            ...shared,
            committer: this.committer,
            slownessOf: upstream => this.inFlightItems.slownessOf(upstream),
        });
        this.progress = new ProgressWriter({ service: opts.service, leadership });
        this.cleanup = new JobCleanup({ ...opts, leadership, table });
        this.checkpoints = new JobCheckpoints({
            ...opts,
            table,
            progress: this.progress,
            cleanup: this.cleanup,
            isActive: () => this.isLoaded && leadership.isLeading(),
        });
        this.waitingItems = new WaitingItemsLog({
            ...opts,
            routes: this.routes,
            candidateOf: (upstream, nowMs) => this.dispatcher.candidateOf(upstream, nowMs),
            mayRun: (service, item) => this.dispatcher.mayRun(service, item),
        });
        this.reader = new JobReader({
            ...opts,
            table,
            currentFencingNumber: () =>
                this.isLoaded && leadership.isLeading() ? leadership.fence()?.modRevision : undefined,
            reachableSinceMs: () => this.mirror?.reachableSinceMs ?? Infinity,
            knowsHeldJobs: () => this.knowsHeldJobs,
            collectHeldJobs: () => this.heldJobsCollection.run(),
            apply: entries => this.apply(entries),
        });
    }

    /** Starts running jobs. Called when this process has become leader. */
    start(): void {
        const controller = new AbortController();
        this.leadershipController = controller;
        this.mirror = new PrefixMirror({
            ...this.opts,
            ...this.opts.jobsMaxAgeMs === undefined ? {} : { maxAgeMs: this.opts.jobsMaxAgeMs },
            watchWaitMs: () => WATCH_WAIT_MS,
            prefix: jobKeys.jobsPrefix,
            onSnapshot: entries => void this.load(entries, controller.signal),
            onChange: batch => this.apply(batch.puts),
        });
        void this.mirror.run(controller.signal);
        this.schedulePeriodicDispatch();
        this.checkpoints.start();
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

    /** Returns the mirror of the jobs while this process leads, shape [mirrors]. */
    mirrors(): PrefixMirror[] {
        return this.leadershipController === undefined || this.mirror === undefined ? [] : [this.mirror];
    }

    /** Runs a job that is held on disk and is not in the key-value service yet. */
    onHeld(job: HeldJob): void {
        if (this.leadershipController !== undefined) {
            this.openHeld([job]);
            this.requestDispatch();
        }
    }

    /** Returns the record of a job that is in the table of this process, and so is certain to be accepted. */
    recordOf(jobId: JobId): JobRecord | undefined {
        return this.table.get(jobId)?.record;
    }

    /** Whether a gateway has reported a job that this process has not received from the key-value service. */
    get lacksReportedJob(): boolean {
        return this.mirror?.lacksReportedChange ?? true;
    }

    /** Whether this process has led since it loaded every accepted job, also those that other runners hold on disks. */
    get knowsAllJobs(): boolean {
        return this.isLoaded && this.knowsHeldJobs;
    }

    /** Returns what this process counts as the leader without `except`; undefined unless it leads and knows all jobs. */
    leaderCount(group: TokenGroup, except: ReadonlySet<JobId>): LeaderCount | undefined {
        const fence = this.opts.leadership.fence();
        return this.knowsAllJobs && fence !== undefined
            ? {
                fencingNumber: fence.modRevision,
                waitingTokens: this.table.waitingTokens(group, except),
            }
            : undefined;
    }

    private pause(): void {
        this.isLoaded = false;
        this.knowsHeldJobs = false;
        this.dispatchTimer?.cancel();
        this.requestedDispatchTimer?.cancel();
        this.requestedDispatchTimer = undefined;
        this.checkpoints.stop();
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
        findFinishedItems(this.table.all()).forEach(({ job, item, state }) => this.outcomes.finish(job, item, state));
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

    /** Adds the jobs held by other runners. Resolves to whether all accepted jobs are certain to be known under this leadership. */
    private async collectHeldJobsOnce(): Promise<boolean> {
        const fencingNumber = this.opts.leadership.fence()?.modRevision;
        if (fencingNumber === undefined) {
            return false;
        }
        const { jobs, isComplete } = await this.opts.collectHeldJobs(fencingNumber);
        if (this.opts.leadership.fence()?.modRevision !== fencingNumber) {
            return false;
        }
        this.openHeld(jobs);
        this.requestDispatch();
        return isComplete;
    }

    /** Opens held jobs, except those that may have been removed. These are opened once they are stored. */
    private openHeld(jobs: readonly HeldJob[]): void {
        const opts = { nowMs: this.opts.clock.nowMs(), resultRetentionMs: this.opts.resultRetentionMs() };
        jobs.filter(({ record }) => !mayBeRemoved(record, opts)).forEach(job => this.table.applyHeld(job));
    }

    private apply(entries: KeyValueEntry[]): void {
        this.table.apply(entries).forEach(job => {
            this.opts.logger.info("job-ended", {
                jobId: job.record.jobId,
                reason: "cancelled",
                mirrorRevision: this.mirror?.knownRevision,
                mirrorAgeMs: this.mirror?.ageMs,
            });
            this.inFlightItems.endJob(job);
            this.onResultsStored(job);
        });
        // The tokens of a job that ended while it was held count as waiting once its delayed write arrives.
        this.table.findEnded(entries).forEach(job => this.cleanup.onEnded(job));
        this.requestDispatch();
    }

    private schedulePeriodicDispatch(): void {
        this.dispatchTimer = this.opts.clock.setTimer(DISPATCH_INTERVAL_MS, () => {
            if (this.isLoaded) {
                this.outcomes.giveUpItems();
            }
            this.dispatch();
            this.waitingItems.report(this.table.all());
            this.schedulePeriodicDispatch();
        });
    }

    private dispatch(): void {
        this.inFlightItems.preemptForOnline();
        // A run is harmless even if another process already is the leader: a result counts only once it is written.
        if (this.isLoaded && this.opts.leadership.fence() !== undefined) {
            this.dispatcher.startItems();
        }
    }

    private onResultsStored(job: OpenJob): void {
        if (job.isEnded) {
            this.routes.forget(job.record.jobId);
            this.cleanup.onEnded(job);
        }
    }
}
