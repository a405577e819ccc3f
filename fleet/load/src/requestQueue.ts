import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { decideAdmission } from "./decideAdmission.js";
import { FIRST_RESPONSE_MS } from "./firstResponseMs.js";
import type { HoldTimes } from "./holdTimes.js";
import type { LoadTracker } from "./loadTracker.js";
import type { PlacementPolicy } from "./placementPolicy.js";
import type { QueuedRequest } from "./queuedRequest.js";

/** Spread of the times at which refused callers come back, as a share. */
const RETRY_JITTER = 0.3;

interface RequestQueueOptions {
    clock: Clock;
    random: Random;
    loadTracker: LoadTracker;
    holdTimes: HoldTimes;
    placement: PlacementPolicy;
    /** Upstreams of a service that may get requests now. */
    usableUpstreams: (service: ServiceName) => Upstream[];
}

/**
 * Where online requests wait for a slot: here, and not in the queue of an upstream, where they could neither be placed
 * elsewhere nor be refused.
 */
export class RequestQueue {
    private readonly opts: RequestQueueOptions;
    private requests: QueuedRequest[] = [];

    constructor(opts: RequestQueueOptions) {
        this.opts = opts;
    }

    /** Places the request, lets it wait or refuses it. */
    submit(request: QueuedRequest): void {
        const nowMs = this.opts.clock.nowMs();
        const isFirstInLine = !this.requests.some(other =>
            other.service === request.service && compareByUrgency(other, request, nowMs) < 0
        );
        const upstream = isFirstInLine ? this.place(request) : undefined;
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

    /** Takes out a request whose caller left. */
    remove(request: QueuedRequest): void {
        this.requests = this.requests.filter(other => other !== request);
    }

    /** Places waiting requests where slots have come free, and refuses those whose callers give up. */
    dispatch(): void {
        const nowMs = this.opts.clock.nowMs();
        this.requests.filter(request => request.callerTimeoutAtMs <= nowMs).forEach(request => {
            this.remove(request);
            this.reject(request, 0, "the caller's time is up");
        });
        // A service without a free place can't take a later request either.
        const full = new Set<ServiceName>();
        this.requests.sort((left, right) => compareByUrgency(left, right, nowMs));
        [...this.requests].forEach(request => {
            const upstream = full.has(request.service) ? undefined : this.place(request);
            if (upstream === undefined) {
                full.add(request.service);
                return;
            }
            this.remove(request);
            request.onPlaced(upstream);
        });
    }

    /** Waiting requests by service, shape [services]. */
    waitingCounts(): { service: ServiceName; count: number; }[] {
        return [...new Set(this.requests.map(request => request.service))].map(service => ({
            service,
            count: this.requests.filter(request => request.service === service).length,
        }));
    }

    private place(request: QueuedRequest): Upstream | undefined {
        const candidates = this.opts.usableUpstreams(request.service).filter(upstream =>
            !request.excluded.has(upstream.id)
        );
        return this.opts.placement.placeOnline(candidates);
    }

    private inputsOf(request: QueuedRequest) {
        const nowMs = this.opts.clock.nowMs();
        const same = this.requests.filter(other => other.service === request.service);
        const ahead = same.filter(other => compareByUrgency(other, request, nowMs) <= 0);
        // The others tell how many wait, not which; they are taken to be as those here.
        const shareAhead = same.length === 0 ? 1 : ahead.length / same.length;
        return {
            waitingAhead: ahead.length + this.opts.loadTracker.waitingAtPeers(request.service) * shareAhead,
            slots: this.opts.usableUpstreams(request.service).reduce((sum, upstream) => sum + upstream.slots, 0),
            meanHoldMs: this.opts.holdTimes.meanMs(request.service),
            objectiveLeftMs: request.objectiveAtMs - nowMs,
            callerTimeLeftMs: request.callerTimeoutAtMs - nowMs,
            isRetry: request.isRetry,
        };
    }

    private reject(request: QueuedRequest, retryAfterMs: number, reason: string): void {
        request.onRejected(retryAfterMs * (1 + this.opts.random.next() * RETRY_JITTER), reason);
    }
}

/**
 * The urgent first; among equals those that can still be on time, then those that came back, then the earlier ones. Late
 * requests ahead of the others would make each of these late in turn.
 */
function compareByUrgency(left: QueuedRequest, right: QueuedRequest, nowMs: number): number {
    const isLate = (request: QueuedRequest) => Number(nowMs + FIRST_RESPONSE_MS > request.objectiveAtMs);
    return left.priority - right.priority
        || isLate(left) - isLate(right)
        || Number(left.isRetry) - Number(right.isRetry)
        || left.arrivedAtMs - right.arrivedAtMs;
}
