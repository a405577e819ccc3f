import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { LoadTracker } from "./loadTracker.js";
import type { PlacementPolicy } from "./placementPolicy.js";
import type { PlacementRequest } from "./placementRequest.js";

/** Weight of a batch run, relative to an online request. It is low since preempting a run costs only its resumption. */
const BATCH_WEIGHT = 0.1;
/** Cost of ending a batch run. An upstream with a free slot is chosen although it has one online request more. */
const DISPLACEMENT_WEIGHT = 1.2;
/** Cost of the network path to another zone. An upstream there is chosen if it has fewer requests. */
const OTHER_ZONE_WEIGHT = 0.6;
/**
 * Random part of the cost, per other process that places requests. Processes that all choose the one least loaded
 * upstream by the same reports fill it beyond its slots before the next report.
 */
const SPREAD_PER_PEER = 0.08;
/** Bounds of the random part. The lower one breaks ties between upstreams of equal load. */
const MIN_SPREAD = 0.05;
const MAX_SPREAD = 2;

/**
 * Spreads bursts of online requests: chooses the upstream with the lowest load, counted over all processes. Excludes
 * upstreams whose slots are all taken by online requests or at which this process has reached its connection share.
 * Batch runs have a low weight, because they are ended when their slot is needed. A run is ended only where no upstream
 * with about as few online requests has a free slot.
 *
 * Load pattern: online requests in bursts, while batch items take all other slots.
 */
export class LeastLoadedPlacement implements PlacementPolicy {
    private readonly loadTracker: LoadTracker;
    private readonly random: Random;
    private readonly zone: ZoneName;
    private readonly connectionShare: (service: ServiceName) => number;
    private readonly placingPeers: () => number;

    /**
     * @param opts.zone the availability zone of this process
     * @param opts.placingPeers number of other processes that place requests
     * @param opts.connectionShare number of concurrent requests that this process may send to one upstream of a service
     */
    constructor(opts: {
        loadTracker: LoadTracker;
        random: Random;
        zone: ZoneName;
        connectionShare: (service: ServiceName) => number;
        placingPeers: () => number;
    }) {
        this.loadTracker = opts.loadTracker;
        this.connectionShare = opts.connectionShare;
        this.placingPeers = opts.placingPeers;
        this.zone = opts.zone;
        this.random = opts.random;
    }

    placeOnline(candidates: readonly Upstream[], _request: PlacementRequest): Upstream | undefined {
        const service = candidates[0]?.service;
        const share = service === undefined ? 0 : this.connectionShare(service);
        const spread = Math.min(MAX_SPREAD, Math.max(MIN_SPREAD, this.placingPeers() * SPREAD_PER_PEER));
        return candidates
            .filter(({ id, slots }) =>
                this.loadTracker.onlineCount(id) < slots && this.loadTracker.ownOnlineCount(id) < share
            )
            .map(upstream => ({ upstream, cost: this.costOf(upstream) + this.random.next() * spread }))
            .reduce<{ upstream: Upstream; cost: number; } | undefined>(
                (best, candidate) => best === undefined || candidate.cost < best.cost ? candidate : best,
                undefined,
            )?.upstream;
    }

    private costOf(upstream: Upstream): number {
        const batch = this.loadTracker.batchCount(upstream.id) * BATCH_WEIGHT;
        const zone = upstream.zone === this.zone ? 0 : OTHER_ZONE_WEIGHT;
        const online = this.loadTracker.onlineCount(upstream.id);
        const isFull = online + this.loadTracker.batchCount(upstream.id) >= upstream.slots;
        const displacement = isFull ? DISPLACEMENT_WEIGHT : 0;
        return online + batch + displacement + zone;
    }
}
