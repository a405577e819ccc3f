import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { LoadTracker } from "./loadTracker.js";
import type { QueuedRequest } from "./queuedRequest.js";

/**
 * Returns the upstreams of a service that may receive requests now, shape [upstreams]; only those of a software version
 * if one is given.
 */
type UsableUpstreams = (service: ServiceName, softwareVersion: SoftwareVersion | undefined) => Upstream[];

/** The upstreams and slots that may run a request. */
export class QueueCandidates {
    private readonly usableUpstreams: UsableUpstreams;
    private readonly loadTracker: LoadTracker;

    constructor(opts: { usableUpstreams: UsableUpstreams; loadTracker: LoadTracker; }) {
        this.usableUpstreams = opts.usableUpstreams;
        this.loadTracker = opts.loadTracker;
    }

    /** Returns the upstreams that may run a request, shape [upstreams]. */
    of(request: QueuedRequest): Upstream[] {
        return this.usableUpstreams(request.service, request.softwareVersion)
            .filter(upstream => !request.excluded.has(upstream.id));
    }

    /** Returns the number of slots of the upstreams that may run a request. */
    slotsOf(request: QueuedRequest): number {
        return sumOfSlots(this.of(request));
    }

    /**
     * Returns whether enough slots are free for a request to leave a share of all slots to others.
     *
     * @param reservedShare 0 to 1
     */
    leavesFree(request: QueuedRequest, reservedShare: number): boolean {
        if (reservedShare === 0) {
            return true;
        }
        const slots = sumOfSlots(this.usableUpstreams(request.service, undefined));
        return this.freeSlots(request.service) > Math.round(slots * reservedShare);
    }

    /** Returns the number of slots of a service that no online request takes. */
    freeSlots(service: ServiceName): number {
        return this.usableUpstreams(service, undefined)
            .reduce((sum, { id, slots }) => sum + Math.max(0, slots - this.loadTracker.onlineCount(id)), 0);
    }

    /**
     * Returns the share of the service's slots, of which `slots` may run the request. The other slots run some of the
     * requests ahead of it.
     */
    shareOf(request: QueuedRequest, slots: number): number {
        if (request.softwareVersion === undefined) {
            return 1;
        }
        const allSlots = sumOfSlots(this.usableUpstreams(request.service, undefined));
        return allSlots === 0 ? 1 : Math.min(1, slots / allSlots);
    }
}

function sumOfSlots(upstreams: readonly Upstream[]): number {
    return upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
}
