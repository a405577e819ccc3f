import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { findItemSlots } from "./findItemSlots.js";
import { idleSlotsOf } from "./idleSlotsOf.js";
import type { ItemRoutes } from "./itemRoutes.js";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { OpenJob } from "./openJob.js";
import type { ServiceSlots } from "./serviceSlots.js";
import { WaitingItems } from "./waitingItems.js";

type WaitingItemsLogOptions = Pick<JobRunnerOptions, "clock" | "logger" | "directory" | "loadTracker"> & {
    routes: ItemRoutes;
    /** Returns an upstream with its current load; undefined if it may not run another item now. */
    candidateOf: (upstream: Upstream, nowMs: number) => BatchCandidate | undefined;
    /** Whether neither the item nor a part of its prompt is quarantined. */
    mayRun: (service: ServiceName, item: JobItem) => boolean;
};

/** Logs that items have waited for seconds for another reason than a free slot. */
export class WaitingItemsLog {
    private readonly opts: WaitingItemsLogOptions;
    private readonly waitingItems: WaitingItems;

    constructor(opts: WaitingItemsLogOptions) {
        this.opts = opts;
        const { routes, directory, loadTracker, mayRun } = opts;
        this.waitingItems = new WaitingItems({
            serviceOf: (job, item) => routes.serviceOf(job, item),
            readyUpstreams: service => directory.ready(service),
            hasWaitingRequest: service => loadTracker.waitingAtPeers(service) > 0,
            slotsOf: service => this.slotsOf(service),
            isQuarantined: (service, item) => !mayRun(service, item),
        });
    }

    /** Looks for such items among those of the open jobs. Cheap if called often. */
    report(jobs: readonly OpenJob[]): void {
        const found = this.waitingItems.review(jobs, this.opts.clock.nowMs());
        if (found !== undefined) {
            this.opts.logger.warn("items-not-started", { ...found.longest, itemsByReason: found.itemsByReason });
        }
    }

    private slotsOf(service: ServiceName): ServiceSlots | undefined {
        const { clock, directory, candidateOf } = this.opts;
        const nowMs = clock.nowMs();
        const candidates = directory.ready(service).flatMap(upstream => candidateOf(upstream, nowMs) ?? []);
        return candidates.length === 0
            ? undefined
            : {
                startable: sum(findItemSlots(candidates).map(({ count, isLent }) => isLent ? 0 : count)),
                idle: sum(candidates.map(idleSlotsOf)),
                running: sum(candidates.map(({ batch }) => batch)),
            };
    }
}

function sum(counts: readonly number[]): number {
    return counts.reduce((total, count) => total + count, 0);
}
