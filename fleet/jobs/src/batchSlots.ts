import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { avoidRejectingUpstreams } from "./avoidRejectingUpstreams.js";
import type { BatchCandidate } from "./batchCandidate.js";
import { chooseItemSlots } from "./chooseItemSlots.js";
import { endsEarlierByWaiting } from "./endsEarlierByWaiting.js";
import { findItemSlots } from "./findItemSlots.js";
import type { ItemSlots } from "./itemSlots.js";
import type { ItemTimes } from "./itemTimes.js";
import type { JobItem } from "./jobItem.js";

/** Rejections in a row after which an item with most of its output no longer waits for an upstream that can resume it. */
const MAX_REJECTIONS_BEFORE_RESTART = 3;

interface BatchSlotsOptions {
    /** Returns the upstreams of a service, shape [upstreams]. */
    upstreamsOf: (service: ServiceName) => Upstream[];
    /** Returns an upstream with its current load; undefined if it may not run another item now. */
    candidateOf: (upstream: Upstream) => BatchCandidate | undefined;
}

/**
 * The slots that batch items may take during one dispatch. Each upstream is looked at once, and once more after each
 * item that it gets, so that a dispatch without a free slot costs little however many items wait.
 */
export class BatchSlots {
    private readonly opts: BatchSlotsOptions;
    private readonly candidates = new Map<ServiceName, BatchCandidate[]>();
    private readonly free = new Map<ServiceName, ItemSlots[]>();
    /** The upstream of the last item, whose load has changed since. */
    private changed: Upstream | undefined;
    /** Numbers of items that wait for a slot of a faster upstream. */
    private readonly waiting = new Map<ServiceName, number>();

    constructor(opts: BatchSlotsOptions) {
        this.opts = opts;
    }

    hasFree(service: ServiceName): boolean {
        return this.freeOf(service).length > 0;
    }

    /** Whether the next item of a service would take the last idle slot for online requests. */
    isLent(service: ServiceName): boolean {
        return this.freeOf(service).some(({ isLent }) => isLent);
    }

    /**
     * Chooses the upstream for an item, which has to be started before the next call.
     *
     * @param keepsEvents whether the item waits for an upstream that can resume it, as long as there is one that hasn't
     * failed it
     * @param times undefined if all upstreams count as fast enough
     * @returns undefined if the service has no free slot for the item, or if it ends earlier by waiting for a faster one
     */
    take(service: ServiceName, item: JobItem, keepsEvents: boolean, times?: ItemTimes): Upstream | undefined {
        // No upstream of another service can go on with the events, whatever its version.
        const hasEventsOfService = item.service === service;
        const softwareVersion = hasEventsOfService ? item.softwareVersion : undefined;
        const failedUpstreamIds = [...item.failedUpstreamIds, ...item.doubtedUpstreamIds];
        // An upstream that can resume most of the output is worth some more attempts.
        const waitsForVersion = keepsEvents && item.consecutiveRejections < MAX_REJECTIONS_BEFORE_RESTART;
        const rejectedBy = waitsForVersion ? [] : item.rejectedByUpstreamIds;
        const free = avoidRejectingUpstreams(this.freeOf(service), rejectedBy);
        const candidate = chooseItemSlots(free, { failedUpstreamIds, softwareVersion, times })?.candidate;
        if (candidate !== undefined && times !== undefined && this.waitsForFaster(service, candidate, times)) {
            return undefined;
        }
        const chosen = candidate?.upstream;
        if (
            keepsEvents && hasEventsOfService && chosen?.softwareVersion !== softwareVersion
            && this.canResume(service, item, rejectedBy)
        ) {
            return undefined;
        }
        this.changed = chosen;
        return chosen;
    }

    private waitsForFaster(service: ServiceName, chosen: BatchCandidate, times: ItemTimes): boolean {
        const others = () => this.opts.upstreamsOf(service).flatMap(upstream => this.opts.candidateOf(upstream) ?? []);
        const itemsAhead = this.waiting.get(service) ?? 0;
        const waits = endsEarlierByWaiting(chosen, others, { times, itemsAhead });
        if (waits) {
            this.waiting.set(service, itemsAhead + 1);
        }
        return waits;
    }

    private canResume(service: ServiceName, item: JobItem, rejectedBy: readonly UpstreamId[]): boolean {
        const unsuitable = [...item.failedUpstreamIds, ...rejectedBy];
        return this.opts.upstreamsOf(service).some(upstream =>
            upstream.softwareVersion === item.softwareVersion && !unsuitable.includes(upstream.id)
        );
    }

    private freeOf(service: ServiceName): ItemSlots[] {
        const known = this.free.get(service);
        if (known !== undefined && this.changed?.service !== service) {
            return known;
        }
        const free = findItemSlots(this.updateCandidates(service));
        this.free.set(service, free);
        this.changed = undefined;
        return free;
    }

    /** Looks at all upstreams of a service, or only at the changed one if the others are known. */
    private updateCandidates(service: ServiceName): BatchCandidate[] {
        const { changed } = this;
        const others = this.candidates.get(service)?.filter(({ upstream }) => upstream !== changed);
        const upstreams = others === undefined || changed === undefined ? this.opts.upstreamsOf(service) : [changed];
        const candidates = [
            ...others ?? [],
            ...upstreams.flatMap(upstream => this.opts.candidateOf(upstream) ?? []),
        ];
        this.candidates.set(service, candidates);
        return candidates;
    }
}
