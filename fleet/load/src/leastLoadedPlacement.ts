import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { CallLimits } from "./callLimits.js";
import type { LoadTracker } from "./loadTracker.js";
import { OWN_REQUEST_WEIGHT } from "./ownRequestWeight.js";
import type { PlacementCost } from "./placementCost.js";
import type { PlacementPolicy } from "./placementPolicy.js";
import type { PlacementRequest } from "./placementRequest.js";
import type { UpstreamSpeeds } from "./upstreamSpeeds.js";

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
 * Cost of an upstream whose limit is used up, in proportion to its use. Requests go elsewhere first, so that limited upstreams
 * have room for the next burst.
 */
const USED_LIMIT_WEIGHT = 4;
/** Cost of an upstream at which the request misses its objective. It is chosen only if no other has room. */
const LATE_WEIGHT = 1000;
/** Slowness up to which no upstream counts as late, since it may be due to noise. */
const MIN_LATE_SLOWNESS = 1.5;
/** Ratio of the longest gap between the events of a stream to the mean gap. */
const GAP_VARIATION = 2;

interface LeastLoadedPlacementOptions {
    loadTracker: LoadTracker;
    random: Random;
    /** The availability zone of this process. */
    zone: ZoneName;
    /** Returns the number of concurrent requests that this process may send to one upstream of a service. */
    connectionShare: (service: ServiceName) => number;
    /** Returns the number of other processes that place requests. */
    placingPeers: () => number;
    /** The learned speeds; undefined if all upstreams count as equally fast. */
    speeds?: UpstreamSpeeds;
    /** Limits of upstreams; undefined if none has any. */
    limits?: CallLimits;
    /** A further term of the cost; undefined if there is none. */
    cost?: PlacementCost;
}

/**
 * Spreads bursts of online requests: chooses the upstream with the lowest expected time, which is its load, counted over
 * all processes, times its slowness. Excludes upstreams whose slots are all taken by online requests or at which this
 * process has reached its connection share. Batch runs have a low weight, because they are ended when their slot is
 * needed. A run is ended only where no upstream with about as few online requests has a free slot.
 *
 * An upstream too slow for the request's objective is chosen only if no other has room, and if a slot of another isn't
 * likely to become free in time. Without learned speeds all upstreams count as equally fast.
 *
 * Load pattern: online requests in bursts, while batch items take all other slots, and upstreams of unequal speed.
 */
export class LeastLoadedPlacement implements PlacementPolicy {
    private readonly opts: LeastLoadedPlacementOptions;

    constructor(opts: LeastLoadedPlacementOptions) {
        this.opts = opts;
    }

    placeOnline(candidates: readonly Upstream[], request: PlacementRequest): Upstream | undefined {
        const service = candidates[0]?.service;
        if (service === undefined) {
            return undefined;
        }
        const { loadTracker, random, speeds, cost } = this.opts;
        const share = this.opts.connectionShare(service);
        const peers = this.opts.placingPeers();
        const spread = Math.min(MAX_SPREAD, Math.max(MIN_SPREAD, peers * SPREAD_PER_PEER));
        const maxSlowness = this.maxSlownessOf(service, request);
        const costPerMs = cost === undefined ? 0 : this.costPerMs(service);
        let best: Upstream | undefined;
        let bestCost = Infinity;
        let busySpeed = 0;
        for (const upstream of candidates) {
            const online = loadTracker.onlineCount(upstream.id);
            const slowness = speeds?.slownessOf(upstream.id) ?? 1;
            const isLate = slowness > maxSlowness;
            if (online >= upstream.slots || loadTracker.ownOnlineCount(upstream.id) >= share) {
                busySpeed += isLate ? 0 : upstream.slots / slowness;
                continue;
            }
            const extra = cost === undefined ? 0 : cost.costOf(upstream, request) * costPerMs * slowness;
            const total = this.usedSlowness(slowness, upstream.slots - online, peers)
                    * (this.loadOf(upstream, online) + random.next() * spread)
                + (upstream.zone === this.opts.zone ? 0 : OTHER_ZONE_WEIGHT)
                + (this.opts.limits?.usedShare(upstream) ?? 0) * USED_LIMIT_WEIGHT
                + (isLate ? LATE_WEIGHT : 0) + extra;
            if (total < bestCost) {
                best = upstream;
                bestCost = total;
            }
        }
        return bestCost >= LATE_WEIGHT && this.isSlotExpected(service, request, busySpeed) ? undefined : best;
    }

    /** Returns the load of an upstream, with the request itself, as a number of online requests. */
    private loadOf(upstream: Upstream, online: number): number {
        const batch = this.opts.loadTracker.batchCount(upstream.id);
        const displacement = online + batch >= upstream.slots ? DISPLACEMENT_WEIGHT : 0;
        return OWN_REQUEST_WEIGHT + online + batch * BATCH_WEIGHT + displacement;
    }

    /**
     * Returns the slowness to count with. A fast upstream counts as one of mean speed in a share of the placements if its
     * free slots don't suffice for all processes, which would otherwise all choose it before the next report.
     */
    private usedSlowness(slowness: number, freeSlots: number, peers: number): number {
        return slowness < 1 && freeSlots <= peers && this.opts.random.next() * (peers + 1) >= freeSlots ? 1 : slowness;
    }

    /** Returns the slowness up to which an upstream meets the objectives of the request. */
    private maxSlownessOf(service: ServiceName, request: PlacementRequest): number {
        const { speeds } = this.opts;
        if (speeds === undefined) {
            return Infinity;
        }
        // Without a sample the time is 0 and the result infinite. A request that is already late has no limit either.
        const leftMs = speeds.timeUntilMs(request.objectiveAtMs);
        const byFirstData = leftMs > 0 ? leftMs / speeds.firstDataMs(service) : Infinity;
        const byGap = (request.maxEventGapMs ?? Infinity) / (speeds.eventGapMs(service) * GAP_VARIATION);
        return Math.max(MIN_LATE_SLOWNESS, Math.min(byFirstData, byGap));
    }

    /** Whether a slot of a fast enough upstream is likely to become free so early that the request is on time there. */
    private isSlotExpected(service: ServiceName, request: PlacementRequest, busySpeed: number): boolean {
        const { speeds, loadTracker } = this.opts;
        if (speeds === undefined || busySpeed === 0) {
            return false;
        }
        const waitMs = (loadTracker.waitingAtPeers(service) + 1) * speeds.holdMs(service) / busySpeed;
        return waitMs + speeds.firstDataMs(service) <= speeds.timeUntilMs(request.objectiveAtMs);
    }

    /** Returns the cost of a millisecond: the time to the first event corresponds to the request's own weight. */
    private costPerMs(service: ServiceName): number {
        const firstDataMs = this.opts.speeds?.firstDataMs(service) ?? 0;
        return firstDataMs === 0 ? 0 : OWN_REQUEST_WEIGHT / firstDataMs;
    }
}
