import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Random } from "@knapweedwood/core.random/random";
import { CountedTree } from "./countedTree.js";
import type { QueuedRequest } from "./queuedRequest.js";
import type { RankedRequest } from "./rankedRequest.js";
import type { Urgency } from "./urgency.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** Order of two requests: negative if the left one is more urgent. */
type UrgencyOrder = (left: Urgency, right: Urgency) => number;

/**
 * The waiting requests of a team that differ only in their arrival. They have the same time from arrival to objective, so
 * the late ones are always a prefix, and no request has to be moved when it becomes late.
 */
export class RequestStream {
    readonly softwareVersion: SoftwareVersion | undefined;
    private readonly traits: Omit<Urgency, "isLate" | "arrivedAtMs">;
    private readonly objectiveMs: number;
    private readonly requests: CountedTree<WaitingRequest>;

    constructor(request: QueuedRequest, random: Random) {
        this.softwareVersion = request.softwareVersion;
        this.traits = { priority: request.priority, isStarted: request.isStarted, isRetry: request.isRetry };
        this.objectiveMs = objectiveMsOf(request);
        this.requests = new CountedTree({
            random,
            compare: (left, right) => left.arrivedAtMs - right.arrivedAtMs || left.sequence - right.sequence,
        });
    }

    /** Returns the name of the stream that a request belongs to, which is unique within a team and a service. */
    static keyOf(request: QueuedRequest): string {
        const { priority, isStarted, isRetry, softwareVersion } = request;
        return [priority, isStarted, isRetry, objectiveMsOf(request), softwareVersion ?? ""].join(" ");
    }

    get size(): number {
        return this.requests.size;
    }

    add(waiting: WaitingRequest): void {
        this.requests.add(waiting);
    }

    remove(waiting: WaitingRequest): void {
        this.requests.remove(waiting);
    }

    /**
     * Returns the first late request and the first one on time, shape [requests].
     *
     * @param lateBeforeMs requests with an earlier objective are late
     */
    heads(lateBeforeMs: number): RankedRequest[] {
        const first = this.requests.first();
        const isFirstLate = first !== undefined && this.isLate(first, lateBeforeMs);
        const onTime = isFirstLate ? this.requests.firstAfter(other => this.isLate(other, lateBeforeMs)) : first;
        return [
            ...isFirstLate ? [this.rank(first, true)] : [],
            ...onTime === undefined ? [] : [this.rank(onTime, false)],
        ];
    }

    /** Returns the numbers of requests that are late and on time. */
    counts(lateBeforeMs: number): { late: number; onTime: number; } {
        const late = this.requests.countBefore(other => this.isLate(other, lateBeforeMs));
        return { late, onTime: this.size - late };
    }

    get isStarted(): boolean {
        return this.traits.isStarted;
    }

    /** Returns the number of requests that aren't less urgent than `urgency`. */
    countAhead(urgency: Urgency, order: UrgencyOrder, lateBeforeMs: number): number {
        const { late, onTime } = this.counts(lateBeforeMs);
        const arrivedBefore = this.requests.countBefore(other => other.arrivedAtMs <= urgency.arrivedAtMs);
        const countOf = (isLate: boolean, count: number, arrived: number) => {
            const difference = order({ ...this.traits, isLate, arrivedAtMs: urgency.arrivedAtMs }, urgency);
            return difference < 0 ? count : difference > 0 ? 0 : arrived;
        };
        return countOf(true, late, Math.min(late, arrivedBefore))
            + countOf(false, onTime, Math.max(0, arrivedBefore - late));
    }

    private isLate(waiting: WaitingRequest, lateBeforeMs: number): boolean {
        return waiting.arrivedAtMs + this.objectiveMs < lateBeforeMs;
    }

    private rank(waiting: WaitingRequest, isLate: boolean): RankedRequest {
        const { arrivedAtMs } = waiting;
        return { ...this.traits, isLate, arrivedAtMs, objectiveAtMs: arrivedAtMs + this.objectiveMs, waiting };
    }
}

/** Returns the time from the arrival to the objective, rounded so that inexact sums don't divide streams. */
function objectiveMsOf(request: QueuedRequest): number {
    return Math.round(request.objectiveAtMs - request.arrivedAtMs);
}
