import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { LoadTracker } from "./loadTracker.js";
import type { PlacementPolicy } from "./placementPolicy.js";

/** A batch run gives way, at the price of a resume; hence it weighs little beside an online request. */
const BATCH_WEIGHT = 0.1;
/** An upstream in another zone costs the way there; it is chosen where it has fewer requests. */
const OTHER_ZONE_WEIGHT = 0.6;
/** Breaks ties between upstreams of equal load. */
const RANDOM_WEIGHT = 0.05;

/**
 * Answers bursts: an online request goes to the upstream with the fewest of them and never behind as many as there are
 * slots. Batch runs count little, because they are ended when their slot is wanted.
 */
export class LeastLoadedPlacement implements PlacementPolicy {
    private readonly loadTracker: LoadTracker;
    private readonly random: Random;
    private readonly zone: ZoneName;
    private readonly connectionShare: (service: ServiceName) => number;

    /**
     * @param opts.zone the zone of this process
     * @param opts.connectionShare requests that this process may have at one upstream of a service
     */
    constructor(opts: {
        loadTracker: LoadTracker;
        random: Random;
        zone: ZoneName;
        connectionShare: (service: ServiceName) => number;
    }) {
        this.loadTracker = opts.loadTracker;
        this.connectionShare = opts.connectionShare;
        this.zone = opts.zone;
        this.random = opts.random;
    }

    placeOnline(candidates: readonly Upstream[]): Upstream | undefined {
        const service = candidates[0]?.service;
        const share = service === undefined ? 0 : this.connectionShare(service);
        return candidates
            .filter(({ id, slots }) =>
                this.loadTracker.onlineCount(id) < slots && this.loadTracker.ownOnlineCount(id) < share
            )
            .map(upstream => ({ upstream, cost: this.costOf(upstream) }))
            .reduce<{ upstream: Upstream; cost: number; } | undefined>(
                (best, candidate) => best === undefined || candidate.cost < best.cost ? candidate : best,
                undefined,
            )?.upstream;
    }

    private costOf(upstream: Upstream): number {
        const batch = this.loadTracker.batchCount(upstream.id) * BATCH_WEIGHT;
        const zone = upstream.zone === this.zone ? 0 : OTHER_ZONE_WEIGHT;
        return this.loadTracker.onlineCount(upstream.id) + batch + zone + this.random.next() * RANDOM_WEIGHT;
    }
}
