import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { CallLimits } from "./callLimits.js";
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
    private readonly limits: CallLimits | undefined;

    /** @param opts.limits undefined if no upstream has any */
    constructor(opts: { usableUpstreams: UsableUpstreams; loadTracker: LoadTracker; limits?: CallLimits; }) {
        this.usableUpstreams = opts.usableUpstreams;
        this.loadTracker = opts.loadTracker;
        this.limits = opts.limits;
    }

    /** Returns the upstreams that may run a request, shape [upstreams]. */
    of(request: QueuedRequest): Upstream[] {
        return this.usableUpstreams(request.service, request.softwareVersion)
            .filter(upstream => !request.excluded.has(upstream.id));
    }

    /** Returns the upstreams that may run a request and whose limits leave room for it now, shape [upstreams]. */
    withRoomFor(request: QueuedRequest): Upstream[] {
        return this.of(request).filter(upstream => this.mayCall(upstream));
    }

    /** Whether an upstream that may run a request has a slot that neither an online request nor a batch run takes. */
    hasIdleSlot(request: QueuedRequest): boolean {
        return this.withRoomFor(request).some(({ id, slots }) =>
            this.loadTracker.onlineCount(id) + this.loadTracker.batchCount(id) < slots
        );
    }

    /** Whether a request may be sent to an upstream once more. */
    mayReceiveAgain(request: QueuedRequest, upstream: Upstream): boolean {
        return this.mayCall(upstream)
            && this.usableUpstreams(request.service, request.softwareVersion).some(({ id }) => id === upstream.id);
    }

    /**
     * Returns the number of slots of the upstreams that may run a request, as far as their limits let requests fill them.
     *
     * @param meanHoldMs mean time for which a request holds a slot, in milliseconds
     */
    slotsOf(request: QueuedRequest, meanHoldMs: number): number {
        return this.sumOfSlots(this.of(request), meanHoldMs);
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
        const slots = this.usableUpstreams(request.service, undefined)
            .filter(upstream => this.mayCall(upstream))
            .reduce((sum, upstream) => sum + upstream.slots, 0);
        return this.freeSlots(request.service) > Math.round(slots * reservedShare);
    }

    /** Returns the number of slots of a service that no online request takes and that may be used now. */
    freeSlots(service: ServiceName): number {
        return this.usableUpstreams(service, undefined)
            .filter(upstream => this.mayCall(upstream))
            .reduce((sum, { id, slots }) => sum + Math.max(0, slots - this.loadTracker.onlineCount(id)), 0);
    }

    /**
     * Returns the share of the service's slots, of which `slots` may run the request. The other slots run some of the
     * requests ahead of it.
     */
    shareOf(request: QueuedRequest, slots: number, meanHoldMs: number): number {
        if (request.softwareVersion === undefined) {
            return 1;
        }
        const allSlots = this.sumOfSlots(this.usableUpstreams(request.service, undefined), meanHoldMs);
        return allSlots === 0 ? 1 : Math.min(1, slots / allSlots);
    }

    private mayCall(upstream: Upstream): boolean {
        return this.limits?.mayCall(upstream) !== false;
    }

    private sumOfSlots(upstreams: readonly Upstream[], meanHoldMs: number): number {
        return upstreams.reduce(
            (sum, upstream) => sum + (this.limits?.usableSlots(upstream, meanHoldMs) ?? upstream.slots),
            0,
        );
    }
}
