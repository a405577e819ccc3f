import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { BatchSlots } from "./batchSlots.js";
import type { InFlightItems } from "./inFlightItems.js";
import type { ItemRoutes } from "./itemRoutes.js";
import type { ItemRunTimeEstimator } from "./itemRunTimeEstimator.js";
import type { ItemTraits } from "./itemTraits.js";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { JobTable } from "./jobTable.js";
import type { OpenJob } from "./openJob.js";
import { orderStartableItems } from "./orderStartableItems.js";

/** Remaining share of an item's run time below which it waits to be resumed rather than start over elsewhere. */
const KEEP_REMAINING_SHARE = 0.5;

type ItemDispatcherOptions =
    & Pick<JobRunnerOptions, "clock" | "directory" | "loadTracker" | "health" | "limits" | "quarantine">
    & {
        table: JobTable;
        routes: ItemRoutes;
        traits: ItemTraits;
        runTimeEstimator: ItemRunTimeEstimator;
        inFlightItems: InFlightItems;
    };

/** Starts pending items at upstreams with free slots. */
export class ItemDispatcher {
    private readonly opts: ItemDispatcherOptions;

    constructor(opts: ItemDispatcherOptions) {
        this.opts = opts;
    }

    /** Starts items in free slots. */
    startItems(): void {
        const nowMs = this.opts.clock.nowMs();
        const slots = new BatchSlots({
            upstreamsOf: service => this.upstreamsForItems(service),
            candidateOf: upstream => this.candidateOf(upstream, nowMs),
        });
        const remainingMs = (item: JobItem) => this.opts.runTimeEstimator.remainingMs(item);
        const totalMs = (item: JobItem) => this.opts.runTimeEstimator.totalMs(item);
        const hasFreeSlot = (job: OpenJob, item: JobItem) => {
            const service = this.opts.routes.serviceOf(job, item);
            return service !== undefined && slots.hasFree(service) && this.mayRun(service, item);
        };
        orderStartableItems(this.opts.table.all(), { nowMs, remainingMs, totalMs, hasFreeSlot }).forEach(
            ({ job, item }) => {
                const keepsEvents = remainingMs(item) < totalMs(item) * KEEP_REMAINING_SHARE;
                const times = { remainingMs: remainingMs(item), leftMs: job.record.dueAtMs - nowMs };
                const service = this.opts.routes.serviceOf(job, item)!;
                const isLent = slots.isLent(service);
                const upstream = slots.take(service, item, keepsEvents, times);
                const isBlocked = upstream !== undefined
                    && this.opts.quarantine.itemBlockedForMs(upstream.service, this.opts.traits.of(job, item)) > 0;
                if (upstream !== undefined && !isBlocked) {
                    this.opts.inFlightItems.start(job, item, upstream, { isLent });
                }
            },
        );
    }

    /** Whether neither the item nor a part of its prompt is quarantined. */
    mayRun(service: ServiceName, item: JobItem): boolean {
        const { quarantine } = this.opts;
        return !quarantine.isActive || quarantine.itemBlockedForMs(service, this.opts.traits.knownOf(item)) === 0;
    }

    /** Returns the upstreams that may run items. There are none while an online request of the service waits. */
    private upstreamsForItems(service: ServiceName): Upstream[] {
        return this.opts.loadTracker.waitingAtPeers(service) > 0 ? [] : this.opts.directory.ready(service);
    }

    /** Returns an upstream with its current load; undefined if it may not run another item now. */
    candidateOf(upstream: Upstream, nowMs: number): BatchCandidate | undefined {
        const isUsable = this.opts.health.isUsable(upstream.id, nowMs, this.opts.inFlightItems.countAt(upstream));
        const isWithinLimit = this.opts.limits?.mayRunItem(upstream) !== false;
        return isUsable && isWithinLimit ? this.opts.inFlightItems.candidateOf(upstream) : undefined;
    }
}
