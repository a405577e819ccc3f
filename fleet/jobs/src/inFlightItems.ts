import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { chooseRunsToPreempt } from "./chooseRunsToPreempt.js";
import { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { ItemRunTimeEstimator } from "./itemRunTimeEstimator.js";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { OpenJob } from "./openJob.js";

interface InFlightItem {
    job: OpenJob;
    run: ItemRun;
}

type InFlightItemsOptions =
    & Pick<
        JobRunnerOptions,
        "clock" | "logger" | "metrics" | "loadTracker" | "connections" | "headers" | "onLoadChanged"
    >
    & { runTimeEstimator: ItemRunTimeEstimator; };

/** The items that are running at upstreams. When a run is ended early, its item becomes pending and can be resumed. */
export class InFlightItems {
    private readonly opts: InFlightItemsOptions;
    private readonly onEnded: (job: OpenJob, run: ItemRun, outcome: ItemRunOutcome) => void;
    private inFlight: InFlightItem[] = [];

    /** @param opts.onEnded called when a run ends by itself, not when this class ends it */
    constructor(
        opts: InFlightItemsOptions & { onEnded: (job: OpenJob, run: ItemRun, outcome: ItemRunOutcome) => void; },
    ) {
        this.opts = opts;
        this.onEnded = opts.onEnded;
    }

    start(job: OpenJob, item: JobItem, upstream: Upstream): void {
        item.state = "running";
        this.opts.loadTracker.count(upstream.id, "batch", 1);
        this.opts.onLoadChanged();
        const run: ItemRun = new ItemRun({
            clock: this.opts.clock,
            headers: this.opts.headers,
            item,
            upstream,
            onEnded: outcome => {
                this.release(inFlightItem);
                this.onEnded(job, run, outcome);
            },
        });
        const inFlightItem: InFlightItem = { job, run };
        this.inFlight.push(inFlightItem);
        this.opts.logger.info("item-started", {
            jobId: job.record.jobId,
            itemId: item.id,
            upstream: upstream.id,
            resumedAfter: item.lastEventId,
            online: this.opts.loadTracker.onlineCount(upstream.id),
            batch: this.opts.loadTracker.batchCount(upstream.id),
        });
        run.start(this.opts.connections, { host: job.record.host, body: job.bodyOf(item) });
    }

    /** Ends runs whose slots online requests need. */
    preemptForOnline(): void {
        const nowMs = this.opts.clock.nowMs();
        const runs = this.inFlight.map(inFlightItem => ({
            inFlightItem,
            upstreamId: inFlightItem.run.upstream.id,
            dueAtMs: inFlightItem.job.record.dueAtMs,
            startedAtMs: inFlightItem.run.startedAtMs,
            isLate:
                nowMs + this.opts.runTimeEstimator.remainingMs(inFlightItem.run.item) > inFlightItem.job.record.dueAtMs,
        }));
        [...new Set(this.inFlight.map(inFlightItem => inFlightItem.run.upstream))]
            .flatMap(upstream => chooseRunsToPreempt(this.candidateOf(upstream), runs))
            .forEach(({ inFlightItem }) => {
                this.opts.logger.info("item-displaced", {
                    jobId: inFlightItem.job.record.jobId,
                    itemId: inFlightItem.run.item.id,
                    upstream: inFlightItem.run.upstream.id,
                    online: this.opts.loadTracker.onlineCount(inFlightItem.run.upstream.id),
                    events: inFlightItem.run.item.lastEventId,
                });
                this.opts.metrics.increment("items_displaced_total");
                this.end(inFlightItem);
            });
    }

    /** Ends all runs of a job. */
    endJob(job: OpenJob): void {
        this.inFlight.filter(inFlightItem => inFlightItem.job === job).forEach(inFlightItem => this.end(inFlightItem));
    }

    /** Ends all runs of this process. */
    endAll(): void {
        this.inFlight.forEach(inFlightItem => this.end(inFlightItem));
    }

    /** Returns how many items this process runs at an upstream. */
    countAt(upstream: Upstream): number {
        return this.inFlight.filter(inFlightItem => inFlightItem.run.upstream.id === upstream.id).length;
    }

    /** Returns the upstream with its current load over all processes. */
    candidateOf(upstream: Upstream): BatchCandidate {
        return {
            upstream,
            online: this.opts.loadTracker.onlineCount(upstream.id),
            batch: this.opts.loadTracker.batchCount(upstream.id),
        };
    }

    private end(inFlightItem: InFlightItem): void {
        inFlightItem.run.abort();
        this.release(inFlightItem);
    }

    private release(inFlightItem: InFlightItem): void {
        if (!this.inFlight.includes(inFlightItem)) {
            return;
        }
        this.inFlight = this.inFlight.filter(other => other !== inFlightItem);
        this.opts.loadTracker.count(inFlightItem.run.upstream.id, "batch", -1);
        this.opts.onLoadChanged();
        if (inFlightItem.run.item.state === "running") {
            inFlightItem.run.item.state = "pending";
        }
    }
}
