import type { Timer } from "@knapweedwood/core.clock/timer";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { RequestRun } from "@knapweedwood/fleet.quarantine/requestRun";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { chooseRunsToPreempt } from "./chooseRunsToPreempt.js";
import { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { ItemRunTimeEstimator } from "./itemRunTimeEstimator.js";
import type { ItemTraits } from "./itemTraits.js";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { OpenJob } from "./openJob.js";

/** Time in which the load reports tell all gateways that an item gets a lent slot, in milliseconds. */
const LENT_SLOT_NOTICE_MS = 50;

interface InFlightItem {
    job: OpenJob;
    run: ItemRun;
    /** Undefined before the item is sent. */
    requestRun?: RequestRun;
    /** Sends the item at the end of the notice; undefined if it is sent at once. */
    sendTimer?: Timer;
}

type InFlightItemsOptions =
    & Pick<
        JobRunnerOptions,
        | "clock"
        | "logger"
        | "metrics"
        | "configuration"
        | "directory"
        | "loadTracker"
        | "speeds"
        | "limits"
        | "connections"
        | "headers"
        | "quarantine"
        | "onLoadChanged"
    >
    & { runTimeEstimator: ItemRunTimeEstimator; traits: ItemTraits; };

/** The items that are running at upstreams. When a run is ended early, its item becomes pending and can be resumed. */
export class InFlightItems {
    private readonly opts: InFlightItemsOptions;
    private readonly onEnded: (job: OpenJob, run: ItemRun, outcome: ItemRunOutcome) => void;
    private readonly byUpstream = new Map<UpstreamId, InFlightItem[]>();

    /** @param opts.onEnded called when a run ends by itself, not when this class ends it */
    constructor(
        opts: InFlightItemsOptions & { onEnded: (job: OpenJob, run: ItemRun, outcome: ItemRunOutcome) => void; },
    ) {
        this.opts = opts;
        this.onEnded = opts.onEnded;
    }

    /**
     * Starts an item at an upstream. It counts there from now on.
     *
     * @param opts.isLent whether it takes the last idle slot for online requests. It is then sent at the end of a notice, unless
     * an online request has taken the slot by then
     */
    start(job: OpenJob, item: JobItem, upstream: Upstream, opts: { isLent: boolean; }): void {
        item.state = "running";
        this.opts.loadTracker.count(upstream.id, "batch", 1);
        this.opts.onLoadChanged();
        const run: ItemRun = new ItemRun({
            clock: this.opts.clock,
            headers: this.opts.headers,
            item,
            upstream,
            ...this.opts.speeds === undefined ? {} : { speeds: this.opts.speeds },
            onLeaving: () => this.opts.directory.markLeaving(upstream, this.opts.clock.nowMs()),
            onEnded: outcome => {
                this.release(inFlightItem);
                this.recordOutcome(inFlightItem, outcome);
                this.onEnded(job, run, outcome);
            },
        });
        const inFlightItem: InFlightItem = { job, run };
        this.byUpstream.set(upstream.id, [...this.at(upstream.id), inFlightItem]);
        if (opts.isLent) {
            inFlightItem.sendTimer = this.opts.clock.setTimer(
                LENT_SLOT_NOTICE_MS,
                () => this.onNoticeEnded(inFlightItem),
            );
            return;
        }
        this.send(inFlightItem);
    }

    private onNoticeEnded(inFlightItem: InFlightItem): void {
        const { job, run: { item, upstream } } = inFlightItem;
        const { quarantine, traits } = this.opts;
        const isBlocked = quarantine.itemBlockedForMs(upstream.service, traits.of(job, item)) > 0;
        if (isBlocked) {
            this.end(inFlightItem);
            return;
        }
        this.send(inFlightItem);
    }

    private send(inFlightItem: InFlightItem): void {
        const { job, run } = inFlightItem;
        const { item, upstream } = run;
        inFlightItem.requestRun = this.opts.quarantine.begin(upstream.service, this.opts.traits.of(job, item));
        this.opts.logger.info("item-started", {
            jobId: job.record.jobId,
            itemId: item.id,
            upstream: upstream.id,
            softwareVersion: upstream.softwareVersion,
            resumedAfter: item.lastEventId,
            online: this.opts.loadTracker.onlineCount(upstream.id),
            batch: this.opts.loadTracker.batchCount(upstream.id),
            isSlotLent: inFlightItem.sendTimer !== undefined,
            slowness: this.opts.speeds?.loggedSlownessOf(upstream.id),
            limitPerSecond: this.opts.limits?.limitOf(upstream),
        });
        const { host, team } = job.record;
        const hasTeams = team !== undefined || this.opts.configuration.current?.teams !== undefined;
        const caller = hasTeams ? { ...team === undefined ? {} : { team } } : undefined;
        run.start(this.opts.connections, { host, body: job.bodyOf(item), caller });
    }

    /** Ends runs whose slots online requests need. */
    preemptForOnline(): void {
        [...this.byUpstream.values()].flatMap(inFlight => this.runsToPreempt(inFlight)).forEach(inFlightItem => {
            const { job, run, requestRun } = inFlightItem;
            this.opts.logger.info("item-displaced", {
                jobId: job.record.jobId,
                itemId: run.item.id,
                upstream: run.upstream.id,
                online: this.opts.loadTracker.onlineCount(run.upstream.id),
                events: run.item.lastEventId,
                wasSent: requestRun !== undefined,
            });
            if (requestRun !== undefined) {
                this.opts.metrics.increment("items_displaced_total");
            }
            this.end(inFlightItem);
        });
    }

    /** Ends all runs of a job. */
    endJob(job: OpenJob): void {
        this.all().filter(inFlightItem => inFlightItem.job === job).forEach(inFlightItem => this.end(inFlightItem));
    }

    /** Ends all runs of this process. */
    endAll(): void {
        this.all().forEach(inFlightItem => this.end(inFlightItem));
    }

    /** Returns how many items this process runs at an upstream. */
    countAt(upstream: Upstream): number {
        return this.at(upstream.id).length;
    }

    /** Returns the upstream with its current load over all processes. */
    candidateOf(upstream: Upstream): BatchCandidate {
        return {
            upstream,
            online: this.opts.loadTracker.onlineCount(upstream.id),
            batch: this.opts.loadTracker.batchCount(upstream.id),
            slowness: this.slownessOf(upstream),
        };
    }

    /** Returns the slowness of an upstream over the seconds that an item takes. */
    slownessOf(upstream: Upstream): number {
        return this.opts.speeds?.lastingSlownessOf(upstream.id) ?? 1;
    }

    private all(): InFlightItem[] {
        return [...this.byUpstream.values()].flat();
    }

    private at(upstreamId: UpstreamId): InFlightItem[] {
        return this.byUpstream.get(upstreamId) ?? [];
    }

    /** Returns the runs to end among those at one upstream, shape [runs]. */
    private runsToPreempt(inFlight: readonly InFlightItem[]): InFlightItem[] {
        const candidate = this.candidateOf(inFlight[0]!.run.upstream);
        if (candidate.online + candidate.batch <= candidate.upstream.slots) {
            return [];
        }
        const nowMs = this.opts.clock.nowMs();
        const runs = inFlight.map(inFlightItem => {
            const { job: { record: { dueAtMs } }, run: { item, startedAtMs } } = inFlightItem;
            const beginByMs = dueAtMs - this.opts.runTimeEstimator.totalMs(item);
            const isLate = nowMs + this.opts.runTimeEstimator.remainingMs(item, candidate.slowness) > dueAtMs;
            return { inFlightItem, upstreamId: candidate.upstream.id, beginByMs, startedAtMs, isLate };
        });
        return chooseRunsToPreempt(candidate, runs).map(({ inFlightItem }) => inFlightItem);
    }

    private recordOutcome({ run, requestRun }: InFlightItem, outcome: ItemRunOutcome): void {
        if (requestRun === undefined) {
            return;
        }
        if (outcome.kind === "completed") {
            this.opts.quarantine.onSuccess(requestRun, run.upstream);
        }
        if (outcome.kind === "broken" && outcome.isConnectionBroken) {
            this.opts.quarantine.onCrash(requestRun, run.upstream);
        }
    }

    private end(inFlightItem: InFlightItem): void {
        inFlightItem.sendTimer?.cancel();
        inFlightItem.run.abort();
        this.release(inFlightItem);
    }

    private release(inFlightItem: InFlightItem): void {
        const { upstream, item } = inFlightItem.run;
        const inFlight = this.at(upstream.id);
        const others = inFlight.filter(other => other !== inFlightItem);
        if (others.length === inFlight.length) {
            return;
        }
        this.byUpstream.set(upstream.id, others);
        if (others.length === 0) {
            this.byUpstream.delete(upstream.id);
        }
        if (inFlightItem.requestRun !== undefined) {
            item.lastRunEndedAtMs = this.opts.clock.nowMs();
        }
        this.opts.loadTracker.count(upstream.id, "batch", -1);
        this.opts.onLoadChanged();
        if (item.state === "running") {
            item.state = "pending";
        }
    }
}
