import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { decideAdmission } from "./decideAdmission.js";
import type { LoadTracker } from "./loadTracker.js";
import type { PlacementPolicy } from "./placementPolicy.js";
import type { QueuedRequest } from "./queuedRequest.js";
import type { ServiceTimes } from "./serviceTimes.js";

/** Maximum jitter added to the retry delay of rejected callers, as a share of the delay. */
const RETRY_JITTER = 0.3;

interface RequestQueueOptions {
    clock: Clock;
    random: Random;
    loadTracker: LoadTracker;
    serviceTimes: ServiceTimes;
    placement: PlacementPolicy;
    /**
     * Returns the upstreams of a service that may receive requests now, shape [upstreams]; only those of a software
     * version if one is given.
     */
    usableUpstreams: (service: ServiceName, softwareVersion: SoftwareVersion | undefined) => Upstream[];
}

/**
 * Queues online requests until a slot is free. Requests wait here and not in the queue of an upstream, where they could
 * neither be placed at another upstream nor be rejected.
 */
export class RequestQueue {
    private readonly opts: RequestQueueOptions;
    private requests: QueuedRequest[] = [];

    constructor(opts: RequestQueueOptions) {
        this.opts = opts;
    }

    /** Places, queues or rejects the request. */
    submit(request: QueuedRequest): void {
        if (this.rejectIfBlocked(request)) {
            return;
        }
        const nowMs = this.opts.clock.nowMs();
        const isMostUrgent = !this.requests.some(other =>
            needsSameSlots(other, request) && this.compareByUrgency(other, request, nowMs) < 0
        );
        const upstream = isMostUrgent ? this.place(request) : undefined;
        if (upstream !== undefined) {
            request.onPlaced(upstream);
            return;
        }
        const decision = decideAdmission(this.inputsOf(request));
        if (decision.kind === "reject") {
            this.reject(request, decision.retryAfterMs, "no slot in time");
            return;
        }
        this.requests.push(request);
    }

    /** Removes a request whose caller has disconnected. */
    remove(request: QueuedRequest): void {
        this.requests = this.requests.filter(other => other !== request);
    }

    /** Places queued requests at upstreams with free slots and rejects the requests whose callers have timed out. */
    dispatch(): void {
        const nowMs = this.opts.clock.nowMs();
        this.requests.filter(request => request.callerTimeoutAtMs <= nowMs).forEach(request => {
            this.remove(request);
            this.reject(request, 0, "the caller's time is up");
        });
        // Where no slot is free for a request, a less urgent one can't run either.
        const unplaced: QueuedRequest[] = [];
        this.requests.sort((left, right) => this.compareByUrgency(left, right, nowMs));
        [...this.requests].forEach(request => {
            if (this.rejectIfBlocked(request) || unplaced.some(other => needsSameSlots(other, request))) {
                return;
            }
            const upstream = this.place(request);
            if (upstream === undefined) {
                unplaced.push(request);
                this.rejectIfImpossible(request);
                return;
            }
            this.remove(request);
            request.onPlaced(upstream);
        });
    }

    /** Returns the number of queued requests by service, shape [services]. */
    waitingCounts(): { service: ServiceName; count: number; }[] {
        return [...new Set(this.requests.map(request => request.service))].map(service => ({
            service,
            count: this.requests.filter(request => request.service === service).length,
        }));
    }

    private place(request: QueuedRequest): Upstream | undefined {
        return this.opts.placement.placeOnline(this.candidatesOf(request), request);
    }

    private candidatesOf(request: QueuedRequest): Upstream[] {
        return this.opts
            .usableUpstreams(request.service, request.softwareVersion)
            .filter(upstream => !request.excluded.has(upstream.id));
    }

    private inputsOf(request: QueuedRequest) {
        const nowMs = this.opts.clock.nowMs();
        const same = this.requests.filter(other => other.service === request.service);
        const ahead = same.filter(other => this.compareByUrgency(other, request, nowMs) <= 0);
        // Peers report only the number of their queued requests; the same mix as in this queue is assumed.
        const shareAhead = same.length === 0 ? 1 : ahead.length / same.length;
        const waitingAhead = ahead.length + this.opts.loadTracker.waitingAtPeers(request.service) * shareAhead;
        const slots = slotsOf(this.candidatesOf(request));
        return {
            waitingAhead: waitingAhead * this.shareOfSlots(request, slots),
            slots,
            meanHoldMs: this.opts.serviceTimes.meanHoldMs(request.service),
            meanFirstDataMs: this.opts.serviceTimes.meanFirstDataMs(request.service),
            objectiveLeftMs: request.objectiveAtMs - nowMs,
            callerTimeLeftMs: request.callerTimeoutAtMs - nowMs,
            deadlineLeftMs: request.deadlineAtMs - nowMs,
            isRetry: request.isRetry || request.isStarted,
        };
    }

    private rejectIfBlocked(request: QueuedRequest): boolean {
        const blockedForMs = request.blockedForMs();
        if (blockedForMs > 0) {
            this.remove(request);
            this.reject(request, blockedForMs, "the request or a part of its prompt crashes upstreams");
        }
        return blockedForMs > 0;
    }

    /** Rejects a waiting request for whose software version no upstream is left. */
    private rejectIfImpossible(request: QueuedRequest): void {
        if (request.softwareVersion !== undefined && this.candidatesOf(request).length === 0) {
            this.remove(request);
            this.reject(request, 0, "no upstream of the stream's software version is left");
        }
    }

    /** Returns the share of the service's slots that may run the request. The others run some of those ahead of it. */
    private shareOfSlots(request: QueuedRequest, slots: number): number {
        if (request.softwareVersion === undefined) {
            return 1;
        }
        const allSlots = slotsOf(this.opts.usableUpstreams(request.service, undefined));
        return allSlots === 0 ? 1 : Math.min(1, slots / allSlots);
    }

    private reject(request: QueuedRequest, retryAfterMs: number, reason: string): void {
        request.onRejected(retryAfterMs * (1 + this.opts.random.next() * RETRY_JITTER), reason);
    }

    /**
     * Compares requests by priority, then those whose response has begun first, then requests that can still meet their
     * objective first, then first attempts before retries, then by arrival. Late requests at the front of the queue would
     * make the others late in turn.
     */
    private compareByUrgency(left: QueuedRequest, right: QueuedRequest, nowMs: number): number {
        return left.priority - right.priority
            || Number(right.isStarted) - Number(left.isStarted)
            || Number(this.isLate(left, nowMs)) - Number(this.isLate(right, nowMs))
            || Number(left.isRetry) - Number(right.isRetry)
            || left.arrivedAtMs - right.arrivedAtMs;
    }

    private isLate(request: QueuedRequest, nowMs: number): boolean {
        return nowMs + this.opts.serviceTimes.meanFirstDataMs(request.service) > request.objectiveAtMs;
    }
}

/** Whether `request` can't run before `other` does: it needs one of the same slots, or one of fewer slots. */
function needsSameSlots(other: QueuedRequest, request: QueuedRequest): boolean {
    return other.service === request.service
        && (other.softwareVersion === undefined || other.softwareVersion === request.softwareVersion);
}

function slotsOf(upstreams: readonly Upstream[]): number {
    return upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
}
