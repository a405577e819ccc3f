import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { applyRunOutcome } from "./applyRunOutcome.js";
import { findItemsToGiveUp } from "./findItemsToGiveUp.js";
import type { ItemRoutes } from "./itemRoutes.js";
import type { ItemRun } from "./itemRun.js";
import type { ItemRunOutcome } from "./itemRunOutcome.js";
import type { ItemRunTimeEstimator } from "./itemRunTimeEstimator.js";
import type { ItemsToGiveUp } from "./itemsToGiveUp.js";
import type { ItemTraits } from "./itemTraits.js";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { JobTable } from "./jobTable.js";
import type { OpenJob } from "./openJob.js";
import { recordDoubt } from "./recordDoubt.js";
import { recordRejection } from "./recordRejection.js";
import { recordUpstreamHealth } from "./recordUpstreamHealth.js";
import type { ResultCommitter } from "./resultCommitter.js";

type ItemOutcomesOptions = Pick<JobRunnerOptions, "clock" | "logger" | "metrics" | "health"> & {
    table: JobTable;
    routes: ItemRoutes;
    traits: ItemTraits;
    runTimeEstimator: ItemRunTimeEstimator;
    committer: ResultCommitter;
    /** Returns how slow an upstream is now, relative to the others of its service. */
    slownessOf: (upstream: Upstream) => number;
};

/** Applies the outcomes of runs to items, and commits the results of those that are finished or given up. */
export class ItemOutcomes {
    private readonly opts: ItemOutcomesOptions;

    constructor(opts: ItemOutcomesOptions) {
        this.opts = opts;
    }

    /** Records how a run ended, and finishes the item if it isn't to be run again. */
    onRunEnded(job: OpenJob, run: ItemRun, outcome: ItemRunOutcome): void {
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
                    promptParts: this.opts.traits.promptPartsOf(item),
                    fingerprint: this.opts.traits.fingerprintOf(job, item),
                }
                : {},
        });
        this.opts.metrics.increment("item_runs_total", { outcome: outcome.kind });
        recordUpstreamHealth(this.opts.health, upstream.id, outcome, nowMs);
        recordDoubt(this.opts.health, run, outcome, nowMs);
        const slowness = this.opts.slownessOf(upstream);
        this.opts.runTimeEstimator.recordRun(run.eventCount, nowMs - run.startedAtMs, slowness);
        if (outcome.kind === "failed") {
            item.failedUpstreamIds.push(upstream.id);
        }
        recordRejection(item, upstream.id, outcome);
        const decision = applyRunOutcome(item, outcome, { nowMs, maxAttempts: job.record.maxAttempts });
        if (decision !== "retry") {
            this.finish(job, item, decision);
        }
    }

    /** Commits the result of an item. */
    finish(job: OpenJob, item: JobItem, state: "completed" | "given-up"): void {
        item.state = "finished";
        item.isComplete = state === "completed";
        if (item.isComplete) {
            this.opts.runTimeEstimator.recordOutput(item);
        }
        const output = state === "completed" ? item.events.join("\n") : "";
        this.opts.committer.add(job, { itemId: item.id, state, output });
    }

    /**
     * Gives up items that can't be run any more. May be called only once the stored results are loaded: until then, an item
     * with a result can't be told from one without.
     */
    giveUpItems(): void {
        const missingSinceMs = (job: OpenJob) => this.opts.routes.missingSinceMs(job.record.jobId);
        findItemsToGiveUp(this.opts.table.all(), { nowMs: this.opts.clock.nowMs(), missingSinceMs })
            .forEach(found => this.giveUp(found));
    }

    private giveUp({ job, items, reason }: ItemsToGiveUp): void {
        const { jobId } = job.record;
        this.opts.logger.info("items-given-up", { jobId, reason, items: items.length, results: job.resultCount });
        items.forEach(item => this.finish(job, item, "given-up"));
    }
}
