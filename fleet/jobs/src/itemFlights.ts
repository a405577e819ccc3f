import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { chooseRunsToEnd } from "./chooseRunsToEnd.js";
import { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { ItemRunTimes } from "./itemRunTimes.js";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { OpenJob } from "./openJob.js";

interface Flight {
    job: OpenJob;
    run: ItemRun;
}

type FlightOptions =
    & Pick<
        JobRunnerOptions,
        "clock" | "logger" | "metrics" | "board" | "connections" | "headers" | "onLoadChanged"
    >
    & { runTimes: ItemRunTimes; };

/** The items that run at upstreams now. An ended run leaves its item waiting to be resumed. */
export class ItemFlights {
    private readonly opts: FlightOptions;
    private readonly onEnded: (job: OpenJob, run: ItemRun, outcome: ItemRunOutcome) => void;
    private flights: Flight[] = [];

    /** @param opts.onEnded called when a run ends other than by this class */
    constructor(opts: FlightOptions & { onEnded: (job: OpenJob, run: ItemRun, outcome: ItemRunOutcome) => void; }) {
        this.opts = opts;
        this.onEnded = opts.onEnded;
    }

    start(job: OpenJob, item: JobItem, upstream: Upstream): void {
        item.state = "running";
        this.opts.board.count(upstream.id, "batch", 1);
        this.opts.onLoadChanged();
        const run: ItemRun = new ItemRun({
            clock: this.opts.clock,
            headers: this.opts.headers,
            item,
            upstream,
            onEnded: outcome => {
                this.release(flight);
                this.onEnded(job, run, outcome);
            },
        });
        const flight: Flight = { job, run };
        this.flights.push(flight);
        this.opts.logger.info("item-started", {
            jobId: job.record.jobId,
            itemId: item.id,
            upstream: upstream.id,
            resumedAfter: item.lastEventId,
            online: this.opts.board.onlineCount(upstream.id),
            batch: this.opts.board.batchCount(upstream.id),
        });
        run.start(this.opts.connections, { host: job.record.host, body: job.bodyOf(item) });
    }

    /** Ends runs where online requests want their slots. */
    endDisplaced(): void {
        const nowMs = this.opts.clock.nowMs();
        const runs = this.flights.map(flight => ({
            flight,
            upstreamId: flight.run.upstream.id,
            dueAtMs: flight.job.record.dueAtMs,
            startedAtMs: flight.run.startedAtMs,
            isLate: nowMs + this.opts.runTimes.remainingMs(flight.run.item) > flight.job.record.dueAtMs,
        }));
        [...new Set(this.flights.map(flight => flight.run.upstream))]
            .flatMap(upstream => chooseRunsToEnd(this.candidateOf(upstream), runs))
            .forEach(({ flight }) => {
                this.opts.logger.info("item-displaced", {
                    jobId: flight.job.record.jobId,
                    itemId: flight.run.item.id,
                    upstream: flight.run.upstream.id,
                    online: this.opts.board.onlineCount(flight.run.upstream.id),
                    events: flight.run.item.lastEventId,
                });
                this.opts.metrics.increment("items_displaced_total");
                this.end(flight);
            });
    }

    endJob(job: OpenJob): void {
        this.flights.filter(flight => flight.job === job).forEach(flight => this.end(flight));
    }

    endAll(): void {
        this.flights.forEach(flight => this.end(flight));
    }

    /** Items of this process that run at an upstream. */
    countAt(upstream: Upstream): number {
        return this.flights.filter(flight => flight.run.upstream.id === upstream.id).length;
    }

    candidateOf(upstream: Upstream): BatchCandidate {
        return {
            upstream,
            online: this.opts.board.onlineCount(upstream.id),
            batch: this.opts.board.batchCount(upstream.id),
        };
    }

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
}
