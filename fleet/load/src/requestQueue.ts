import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Random } from "@knapweedwood/core.random/random";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { AdmissionDecision } from "./admissionDecision.js";
import { AdmissionEstimator } from "./admissionEstimator.js";
import type { AdmissionInputs } from "./admissionInputs.js";
import type { CallLimits } from "./callLimits.js";
import { CountedTree } from "./countedTree.js";
import { decideAdmission } from "./decideAdmission.js";
import { isUnreachable } from "./isUnreachable.js";
import type { LoadTracker } from "./loadTracker.js";
import type { PlacementPolicy } from "./placementPolicy.js";
import { QueueCandidates } from "./queueCandidates.js";
import type { QueuedRequest } from "./queuedRequest.js";
import type { QueueEstimate } from "./queueEstimate.js";
import { RequestStream } from "./requestStream.js";
import { ServiceQueue } from "./serviceQueue.js";
import type { ServiceTimes } from "./serviceTimes.js";
import { TeamWeights } from "./teamWeights.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Maximum jitter added to the retry delay of rejected callers, as a share of the delay. */
const RETRY_JITTER = 0.3;
/** Number of waiting requests that are checked again in each dispatch, in turn. */
const CHECKED_PER_DISPATCH = 8;
const TREE_SEED = 1;

interface RequestQueueOptions {
    clock: Clock;
    random: Random;
    loadTracker: LoadTracker;
    serviceTimes: ServiceTimes;
    placement: PlacementPolicy;
    /** Limits of upstreams; undefined if none has any. */
    limits?: CallLimits;
    /**
     * Returns the upstreams of a service that may receive requests now, shape [upstreams]; only those of a software
     * version if one is given.
     */
    usableUpstreams: (service: ServiceName, softwareVersion: SoftwareVersion | undefined) => Upstream[];
    /** Returns the teams of the configuration in force, shape [teams]; undefined if callers need no key. */
    teams: () => readonly Team[] | undefined;
}

/**
 * Queues online requests until a slot is free. Requests wait here and not in the queue of an upstream, where they could
 * neither be placed at another upstream nor be rejected.
 */
export class RequestQueue {
    private readonly opts: RequestQueueOptions;
    private readonly weights: TeamWeights;
    private readonly candidates: QueueCandidates;
    private readonly estimator: AdmissionEstimator;
    /** A separate generator, so that the shapes of the trees don't affect decisions that draw random numbers. */
    private readonly treeRandom = new SeededRandom(TREE_SEED);
    private readonly services = new Map<ServiceName, ServiceQueue>();
    private readonly waiting = new Map<QueuedRequest, WaitingRequest>();
    private readonly byTimeout = new CountedTree<WaitingRequest>({
        compare: compareByTimeout,
        random: this.treeRandom,
    });
    /** The request that was checked last. */
    private lastChecked: WaitingRequest | undefined;
    private sequence = 0;

    constructor(opts: RequestQueueOptions) {
        this.opts = opts;
        this.weights = new TeamWeights(opts.teams);
        this.candidates = new QueueCandidates(opts);
        this.estimator = new AdmissionEstimator({ ...opts, candidates: this.candidates });
    }

    /** Places, queues or rejects the request. */
    submit(request: QueuedRequest): void {
        if (this.rejectIfBlocked(request)) {
            return;
        }
        const nowMs = this.opts.clock.nowMs();
        const queue = this.queueOf(request.service);
        queue.recordArrival(request.team?.id, nowMs);
        if (this.weights.hasTeams) {
            // What still waits afterwards can't use the free slots, and must not keep other teams from them.
            this.dispatchService(queue);
        }
        const teamId = request.team?.id;
        const urgency = this.estimator.urgencyOf(request, queue, nowMs);
        const lateBeforeMs = this.estimator.lateBeforeMs(queue, nowMs);
        const mustWait = queue.mustWait(urgency, teamId, request.softwareVersion, lateBeforeMs);
        const upstream = mustWait || !this.mayTakeSlot(request, queue) ? undefined : this.place(request);
        if (upstream !== undefined) {
            queue.recordPlaced(teamId, nowMs);
            request.onPlaced(upstream);
            return;
        }
        const inputs = this.estimator.inputsOf(request, queue, { isQueued: false, nowMs });
        const decision = decideAdmission(inputs);
        const estimate = estimateOf(inputs, decision);
        queue.recordUnplaced(teamId, nowMs);
        if (decision.kind === "reject") {
            this.reject(request, decision.retryAfterMs, "no slot in time", estimate);
            return;
        }
        this.add(request, queue);
        request.onWaiting(estimate);
    }

    /** Whether an upstream that a request hasn't been sent to has an idle slot. */
    hasIdleSlot(request: QueuedRequest): boolean {
        return this.candidates.hasIdleSlot(request);
    }

    /** Places a request once more at the upstream that hasn't run it, or rejects it. */
    submitAgain(request: QueuedRequest, upstream: Upstream): void {
        if (this.rejectIfBlocked(request)) {
            return;
        }
        if (this.candidates.mayReceiveAgain(request, upstream)) {
            request.onPlaced(upstream);
            return;
        }
        this.reject(request, 0, "the upstream has left");
    }

    /** Removes a request whose caller has disconnected. */
    remove(request: QueuedRequest): void {
        const waiting = this.waiting.get(request);
        if (waiting === undefined) {
            return;
        }
        this.waiting.delete(request);
        this.byTimeout.remove(waiting);
        this.queueOf(request.service).remove(waiting);
    }

    /** Places queued requests at upstreams with free slots and rejects those that can't be served any more. */
    dispatch(): void {
        this.rejectTimedOut();
        [...this.services.values()].forEach(queue => this.dispatchService(queue));
        this.checkSome();
    }

    /** Returns the number of queued requests by service, shape [services]. */
    waitingCounts(): { service: ServiceName; count: number; }[] {
        return [...this.services.values()]
            .filter(queue => queue.size > 0)
            .map(queue => ({ service: queue.service, count: queue.size }));
    }

    private queueOf(service: ServiceName): ServiceQueue {
        const queue = this.services.get(service)
            ?? new ServiceQueue({ service, weights: this.weights, random: this.treeRandom });
        this.services.set(service, queue);
        return queue;
    }

    private add(request: QueuedRequest, queue: ServiceQueue): void {
        this.sequence += 1;
        const waiting: WaitingRequest = {
            request,
            teamId: request.team?.id,
            streamKey: RequestStream.keyOf(request),
            sequence: this.sequence,
            arrivedAtMs: request.arrivedAtMs,
            callerTimeoutAtMs: request.callerTimeoutAtMs,
        };
        this.waiting.set(request, waiting);
        this.byTimeout.add(waiting);
        queue.add(waiting);
    }

    private rejectTimedOut(): void {
        const nowMs = this.opts.clock.nowMs();
        for (
            let first = this.byTimeout.first();
            first !== undefined && first.callerTimeoutAtMs <= nowMs;
            first = this.byTimeout.first()
        ) {
            this.remove(first.request);
            this.reject(first.request, 0, "the caller's time is up");
        }
    }

    /** Places waiting requests of a service in their order, until none that may still be served finds a slot. */
    private dispatchService(queue: ServiceQueue): void {
        const fullVersions = new Set<SoftwareVersion>();
        const skippedTeams = new Set<TeamId | undefined>();
        const nowMs = this.opts.clock.nowMs();
        if (this.weights.hasTeams && queue.size > 0 && this.candidates.freeSlots(queue.service) === 0) {
            // The usual case under load. Skips the comparison of all teams.
            return;
        }
        while (queue.size > 0) {
            const next = queue.first({
                lateBeforeMs: this.estimator.lateBeforeMs(queue, nowMs),
                mayServe: teamId => !skippedTeams.has(teamId),
                mayUse: fullVersions.size === 0
                    ? undefined
                    : version => version === undefined || !fullVersions.has(version),
            })?.waiting.request;
            if (next === undefined) {
                return;
            }
            if (this.rejectIfBlocked(next)) {
                continue;
            }
            if (!this.mayTakeSlot(next, queue)) {
                skippedTeams.add(next.team?.id);
                continue;
            }
            const upstream = this.place(next);
            if (upstream !== undefined) {
                this.remove(next);
                queue.recordPlaced(next.team?.id, nowMs);
                next.onPlaced(upstream);
            }
            else if (next.softwareVersion !== undefined) {
                fullVersions.add(next.softwareVersion);
                this.rejectIfImpossible(next);
            }
            else if (this.weights.hasTeams && next.excluded.size > 0) {
                skippedTeams.add(next.team?.id);
            }
            else {
                // Where no slot is free for a request, a less urgent one can't run either.
                return;
            }
        }
    }

    /** Checks some of the waiting requests in turn, so that the work doesn't grow with their number. */
    private checkSome(): void {
        for (let checked = 0; checked < Math.min(CHECKED_PER_DISPATCH, this.byTimeout.size); checked += 1) {
            const { lastChecked } = this;
            const next = this.byTimeout.firstAfter(other =>
                lastChecked !== undefined && compareByTimeout(other, lastChecked) <= 0
            );
            this.lastChecked = next;
            if (next !== undefined && !this.rejectIfBlocked(next.request) && !this.rejectIfImpossible(next.request)) {
                this.rejectIfUnreachable(next.request);
            }
        }
    }

    /** Returns whether the request leaves enough slots free for the other teams. */
    private mayTakeSlot(request: QueuedRequest, queue: ServiceQueue): boolean {
        const nowMs = this.opts.clock.nowMs();
        return request.isStarted
            || this.candidates.leavesFree(request, queue.reservedShareOf(request.team?.id, nowMs));
    }

    private place(request: QueuedRequest): Upstream | undefined {
        return this.opts.placement.placeOnline(this.candidates.withRoomFor(request), request);
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
    private rejectIfImpossible(request: QueuedRequest): boolean {
        const isImpossible = request.softwareVersion !== undefined && this.candidates.of(request).length === 0;
        if (isImpossible) {
            this.remove(request);
            this.reject(request, 0, "no upstream of the stream's software version is left");
        }
        return isImpossible;
    }

    /** Rejects a waiting request that has become certain enough to miss its caller's timeout. */
    private rejectIfUnreachable(request: QueuedRequest): void {
        const nowMs = this.opts.clock.nowMs();
        const queue = this.queueOf(request.service);
        const mayBeUnreachable = this.weights.hasTeams && !request.isStarted
            && isUnreachable(this.estimator.worstInputsOf(request, queue, nowMs));
        if (!mayBeUnreachable) {
            return;
        }
        const inputs = this.estimator.inputsOf(request, queue, { isQueued: true, nowMs });
        const decision = decideAdmission(inputs);
        if (decision.kind === "reject" && isUnreachable(inputs)) {
            this.remove(request);
            this.reject(request, decision.retryAfterMs, "no slot in time any more", estimateOf(inputs, decision));
        }
    }

    private reject(request: QueuedRequest, retryAfterMs: number, reason: string, estimate?: QueueEstimate): void {
        request.onRejected(retryAfterMs * (1 + this.opts.random.next() * RETRY_JITTER), reason, estimate);
    }
}

function estimateOf({ waitingAhead, slots }: AdmissionInputs, { expectedWaitMs }: AdmissionDecision): QueueEstimate {
    return { expectedWaitMs, waitingAhead, slots };
}

function compareByTimeout(left: WaitingRequest, right: WaitingRequest): number {
    return left.callerTimeoutAtMs - right.callerTimeoutAtMs || left.sequence - right.sequence;
}
