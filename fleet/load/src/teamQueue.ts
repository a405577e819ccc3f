import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Random } from "@knapweedwood/core.random/random";
import type { RankedRequest } from "./rankedRequest.js";
import { RequestStream } from "./requestStream.js";
import type { Urgency } from "./urgency.js";
import { urgencyClassOf } from "./urgencyClassOf.js";
import type { WaitingRequest } from "./waitingRequest.js";

type UrgencyOrder = (left: Urgency, right: Urgency) => number;

/** The most urgent request, valid until a request is added, is removed or becomes late. */
interface KnownHead {
    head: RankedRequest | undefined;
    order: UrgencyOrder;
    fromMs: number;
    untilMs: number;
}

/** The waiting requests of one team for one service, in few streams by route, kind of attempt and software version. */
export class TeamQueue {
    private readonly streams = new Map<string, RequestStream>();
    private readonly random: Random;
    private count = 0;
    /** Undefined after a change. */
    private known: KnownHead | undefined;

    constructor(random: Random) {
        this.random = random;
    }

    get size(): number {
        return this.count;
    }

    add(waiting: WaitingRequest): void {
        const key = waiting.streamKey;
        const stream = this.streams.get(key) ?? new RequestStream(waiting.request, this.random);
        this.streams.set(key, stream);
        stream.add(waiting);
        this.known = undefined;
        this.count += 1;
    }

    remove(waiting: WaitingRequest): void {
        const key = waiting.streamKey;
        const stream = this.streams.get(key)!;
        stream.remove(waiting);
        this.known = undefined;
        this.count -= 1;
        if (stream.size === 0) {
            this.streams.delete(key);
        }
    }

    /**
     * Returns the most urgent request.
     *
     * @param opts.mayUse whether a request of a software version may be returned; undefined if all may
     */
    first(opts: {
        order: UrgencyOrder;
        lateBeforeMs: number;
        mayUse: ((softwareVersion: SoftwareVersion | undefined) => boolean) | undefined;
    }): RankedRequest | undefined {
        const { order, lateBeforeMs, mayUse } = opts;
        if (mayUse === undefined && this.known !== undefined && isValid(this.known, order, lateBeforeMs)) {
            return this.known.head;
        }
        const heads = [...this.streams.values()]
            .filter(stream => mayUse === undefined || mayUse(stream.softwareVersion))
            .flatMap(stream => stream.heads(lateBeforeMs));
        const head = heads.reduce<RankedRequest | undefined>(
            (best, other) => best === undefined || isBefore(other, best, order) ? other : best,
            undefined,
        );
        if (mayUse === undefined) {
            const nextLateMs = Math.min(...heads.filter(({ isLate }) => !isLate).map(other => other.objectiveAtMs));
            this.known = { head, order, fromMs: lateBeforeMs, untilMs: nextLateMs };
        }
        return head;
    }

    /** Returns the number of requests that aren't less urgent than `urgency`. */
    countAhead(urgency: Urgency, order: UrgencyOrder, lateBeforeMs: number): number {
        return [...this.streams.values()].reduce(
            (sum, stream) => sum + stream.countAhead(urgency, order, lateBeforeMs),
            0,
        );
    }

    /** Returns the numbers of requests by class, shape [4]. */
    countsByClass(lateBeforeMs: number): number[] {
        const counts = [0, 0, 0, 0];
        this.streams.forEach(stream => {
            const { isStarted } = stream;
            const { late, onTime } = stream.counts(lateBeforeMs);
            counts[urgencyClassOf({ isStarted, isLate: true })]! += late;
            counts[urgencyClassOf({ isStarted, isLate: false })]! += onTime;
        });
        return counts;
    }
}

function isBefore(
    left: RankedRequest,
    right: RankedRequest,
    order: (left: Urgency, right: Urgency) => number,
): boolean {
    return (order(left, right) || left.waiting.sequence - right.waiting.sequence) < 0;
}

function isValid(known: KnownHead, order: UrgencyOrder, lateBeforeMs: number): boolean {
    return known.order === order && lateBeforeMs >= known.fromMs && lateBeforeMs <= known.untilMs;
}
