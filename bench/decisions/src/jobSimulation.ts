import { exponentialGap } from "@knapweedwood/bench.load/exponentialGap";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Random } from "@knapweedwood/core.random/random";
import { chooseBatchUpstream } from "@knapweedwood/fleet.jobs/chooseBatchUpstream";
import { chooseRunsToPreempt } from "@knapweedwood/fleet.jobs/chooseRunsToPreempt";
import { ItemRunTimeEstimator } from "@knapweedwood/fleet.jobs/itemRunTimeEstimator";
import type { JobItem } from "@knapweedwood/fleet.jobs/jobItem";
import { OpenJob } from "@knapweedwood/fleet.jobs/openJob";
import { orderStartableItems } from "@knapweedwood/fleet.jobs/orderStartableItems";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { EngineRun } from "./engineRun.js";
import type { LoadPattern } from "./loadPattern.js";
import { LoadReporter } from "./loadReporter.js";
import type { SimulatedEngine } from "./simulatedEngine.js";

const ITEMS_PER_JOB = 10;
const MEAN_JOB_GAP_MS = 2100;
/** Time from the acceptance of a job to its due time. */
const DUE_MS = 18_000;
/** Run time of an item that isn't preempted. */
const ITEM_MS = 4800;
/** Number of events that an item produces. */
const ITEM_EVENTS = 223;

interface RunningItem {
    job: OpenJob;
    item: JobItem;
    engine: SimulatedEngine;
    run: EngineRun;
    startedAtMs: number;
}

/** Simulates the process that runs batch items. It makes the real decisions, without connections and stored records. */
export class JobSimulation {
    readonly reporter = new LoadReporter("runner", () => []);
    private readonly opts: { clock: Clock; random: Random; engines: () => SimulatedEngine[]; service: ServiceName; };
    private readonly jobs: OpenJob[] = [];
    private readonly runTimeEstimator = new ItemRunTimeEstimator();
    private readonly endedAtMs = new Map<JobItem, number>();
    private running: RunningItem[] = [];

    constructor(opts: JobSimulation["opts"]) {
        this.opts = opts;
        this.scheduleNextJob();
    }

    /**
     * Preempts the runs that online requests displace, then starts items on engines with free slots. Starts none while
     * online requests wait at a gateway.
     */
    dispatch(): void {
        this.preemptRuns();
        const { clock, service } = this.opts;
        if (this.reporter.loadTracker.waitingAtPeers(service) > 0) {
            return;
        }
        const open = this.jobs.filter(job => job.items.some(item => item.state === "pending"));
        const order = orderStartableItems(open, {
            nowMs: clock.nowMs(),
            remainingMs: item => this.runTimeEstimator.remainingMs(item),
            totalMs: item => this.runTimeEstimator.totalMs(item),
            hasFreeSlot: () => true,
        });
        order.every(({ job, item }) => this.startOnFreeEngine(job, item));
    }

    /** Returns the share of the items due in the span of a load that ended by their due time; 1 where none is due. */
    onTimeShare(load: LoadPattern): number {
        const due = this.jobs.filter(job => job.record.dueAtMs >= load.fromMs && job.record.dueAtMs < load.toMs);
        const items = due.flatMap(job => job.items.map(item => ({ job, item })));
        const onTime = items.filter(({ job, item }) => (this.endedAtMs.get(item) ?? Infinity) <= job.record.dueAtMs);
        return items.length === 0 ? 1 : onTime.length / items.length;
    }

    private scheduleNextJob(): void {
        const gapMs = exponentialGap(this.opts.random, MEAN_JOB_GAP_MS);
        this.opts.clock.setTimer(gapMs, () => {
            this.jobs.push(this.createJob(`j${this.jobs.length}`));
            this.scheduleNextJob();
        });
    }

    private createJob(id: string): OpenJob {
        const acceptedAtMs = this.opts.clock.nowMs();
        return new OpenJob({
            jobId: id as JobId,
            routeName: "jobs",
            host: "h",
            acceptedAtMs,
            dueAtMs: acceptedAtMs + DUE_MS,
            expiresAtMs: Infinity,
            maxAttempts: 3,
            partCount: 0,
            items: Array.from({ length: ITEMS_PER_JOB }, (_, index) => ({
                id: `${id}-${index}` as ItemId,
                path: "/",
                headers: [],
                tokens: 1,
                bodyOffset: 0,
                bodyBytes: 0,
            })),
            nonce: id,
        });
    }

    private startOnFreeEngine(job: OpenJob, item: JobItem): boolean {
        const engines = this.opts.engines();
        const chosen = chooseBatchUpstream(engines.map(engine => this.candidateOf(engine.upstream)))?.upstream;
        if (chosen === undefined) {
            return false;
        }
        this.start(job, item, engines.find(engine => engine.upstream === chosen)!);
        return true;
    }

    private start(job: OpenJob, item: JobItem, engine: SimulatedEngine): void {
        const { clock } = this.opts;
        const startedAtMs = clock.nowMs();
        const run: EngineRun = {
            firstEventMs: 0,
            holdMs: ITEM_MS * (1 - item.lastEventId / ITEM_EVENTS),
            onFirstEvent: () => undefined,
            onEnd: () => {
                this.runTimeEstimator.recordRun(ITEM_EVENTS - item.lastEventId, clock.nowMs() - startedAtMs);
                item.lastEventId = ITEM_EVENTS;
                this.runTimeEstimator.recordOutput(item);
                item.state = "stored";
                this.endedAtMs.set(item, clock.nowMs());
                this.removeRunning(runningItem => runningItem.run === run);
            },
        };
        if (engine.submit(run)) {
            item.state = "running";
            this.reporter.loadTracker.count(engine.upstream.id, "batch", 1);
            this.running.push({ job, item, engine, run, startedAtMs });
        }
    }

    private preemptRuns(): void {
        const { clock } = this.opts;
        const runs = this.running.map(runningItem => ({
            runningItem,
            upstreamId: runningItem.engine.upstream.id as UpstreamId,
            beginByMs: runningItem.job.record.dueAtMs - this.runTimeEstimator.totalMs(runningItem.item),
            startedAtMs: runningItem.startedAtMs,
            isLate:
                clock.nowMs() + this.runTimeEstimator.remainingMs(runningItem.item) > runningItem.job.record.dueAtMs,
        }));
        [...new Set(this.running.map(runningItem => runningItem.engine.upstream))]
            .flatMap(upstream => chooseRunsToPreempt(this.candidateOf(upstream), runs))
            .forEach(({ runningItem }) => this.preempt(runningItem));
    }

    private preempt(runningItem: RunningItem): void {
        const ranMs = this.opts.clock.nowMs() - runningItem.startedAtMs;
        runningItem.engine.abort(runningItem.run);
        runningItem.item.lastEventId = Math.min(
            ITEM_EVENTS - 1,
            runningItem.item.lastEventId + Math.floor(ranMs * ITEM_EVENTS / ITEM_MS),
        );
        runningItem.item.state = "pending";
        this.removeRunning(other => other === runningItem);
    }

    private removeRunning(matches: (runningItem: RunningItem) => boolean): void {
        this.running.filter(matches).forEach(runningItem =>
            this.reporter.loadTracker.count(runningItem.engine.upstream.id, "batch", -1)
        );
        this.running = this.running.filter(runningItem => !matches(runningItem));
    }

    private candidateOf(upstream: Upstream) {
        const { loadTracker } = this.reporter;
        return { upstream, online: loadTracker.onlineCount(upstream.id), batch: loadTracker.batchCount(upstream.id) };
    }
}
