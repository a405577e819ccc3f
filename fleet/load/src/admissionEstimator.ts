import type { AdmissionInputs } from "./admissionInputs.js";
import type { LoadTracker } from "./loadTracker.js";
import type { QueueCandidates } from "./queueCandidates.js";
import type { QueuedRequest } from "./queuedRequest.js";
import type { ServiceQueue } from "./serviceQueue.js";
import type { ServiceTimes } from "./serviceTimes.js";
import type { Urgency } from "./urgency.js";

/** Collects the inputs of the admission decision on a request. */
export class AdmissionEstimator {
    private readonly loadTracker: LoadTracker;
    private readonly serviceTimes: ServiceTimes;
    private readonly candidates: QueueCandidates;

    constructor(opts: { loadTracker: LoadTracker; serviceTimes: ServiceTimes; candidates: QueueCandidates; }) {
        this.loadTracker = opts.loadTracker;
        this.serviceTimes = opts.serviceTimes;
        this.candidates = opts.candidates;
    }

    /** Returns the time such that the requests of a service with an earlier objective are late, in milliseconds. */
    lateBeforeMs(queue: ServiceQueue, nowMs: number): number {
        return nowMs + this.serviceTimes.meanFirstDataMs(queue.service);
    }

    /** Returns the present urgency of a request. */
    urgencyOf(request: QueuedRequest, queue: ServiceQueue, nowMs: number): Urgency {
        const { priority, isStarted, isRetry, arrivedAtMs } = request;
        const isLate = request.objectiveAtMs < this.lateBeforeMs(queue, nowMs);
        return { priority, isStarted, isRetry, arrivedAtMs, isLate };
    }

    /**
     * Returns the inputs of the decision on a request.
     *
     * @param opts.isQueued whether the request is in the queue itself
     */
    inputsOf(
        request: QueuedRequest,
        queue: ServiceQueue,
        opts: { isQueued: boolean; nowMs: number; },
    ): AdmissionInputs {
        return this.inputsWith(request, this.waitingAhead(request, queue, opts), opts.nowMs);
    }

    /** Returns the inputs if all waiting requests were served before this one. Takes less time than the others. */
    worstInputsOf(request: QueuedRequest, queue: ServiceQueue, nowMs: number): AdmissionInputs {
        const atPeers = this.loadTracker.waitingAtPeers(request.service);
        return this.inputsWith(request, queue.size - 1 + atPeers, nowMs);
    }

    private inputsWith(request: QueuedRequest, waitingAhead: number, nowMs: number): AdmissionInputs {
        const meanHoldMs = this.serviceTimes.meanHoldMs(request.service);
        const slots = this.candidates.slotsOf(request, meanHoldMs);
        return {
            waitingAhead: waitingAhead * this.candidates.shareOf(request, slots, meanHoldMs),
            slots,
            meanHoldMs,
            meanFirstDataMs: this.serviceTimes.meanFirstDataMs(request.service),
            objectiveLeftMs: request.objectiveAtMs - nowMs,
            callerTimeLeftMs: request.callerTimeoutAtMs - nowMs,
            deadlineLeftMs: request.deadlineAtMs - nowMs,
            isRetry: request.isRetry || request.isStarted,
        };
    }

    /** Returns the expected number of requests that are served before one, over all processes. */
    private waitingAhead(
        request: QueuedRequest,
        queue: ServiceQueue,
        opts: { isQueued: boolean; nowMs: number; },
    ): number {
        const teamId = request.team?.id;
        const atPeers = this.loadTracker.waitingAtPeers(request.service);
        const position = {
            ...opts,
            urgency: this.urgencyOf(request, queue, opts.nowMs),
            teamId,
            lateBeforeMs: this.lateBeforeMs(queue, opts.nowMs),
        };
        return queue.countAhead(position) + queue.countAheadAtPeers({ ...position, count: atPeers });
    }
}
