import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { BatchCandidate } from "./batchCandidate.js";
import { freeBatchSlots } from "./freeBatchSlots.js";
import type { ItemRoutes } from "./itemRoutes.js";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { OpenJob } from "./openJob.js";
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
        const { clock, routes, directory, loadTracker, candidateOf, mayRun } = opts;
        this.waitingItems = new WaitingItems({
            serviceOf: (job, item) => routes.serviceOf(job, item),
            readyUpstreams: service => directory.ready(service),
            hasWaitingRequest: service => loadTracker.waitingAtPeers(service) > 0,
            freeSlots: upstream => {
                const candidate = candidateOf(upstream, clock.nowMs());
                return candidate === undefined ? undefined : freeBatchSlots(candidate);
            },
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
}
