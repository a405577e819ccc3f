import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { Random } from "@knapweedwood/core.random/random";
import type { RankedRequest } from "./rankedRequest.js";
import { RequestStream } from "./requestStream.js";
import type { Urgency } from "./urgency.js";
import { urgencyClassOf } from "./urgencyClassOf.js";
import type { WaitingRequest } from "./waitingRequest.js";

/** The waiting requests of one team for one service, in few streams by route, kind of attempt and software version. */
export class TeamQueue {
    private readonly streams = new Map<string, RequestStream>();
    private readonly random: Random;
    private count = 0;

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
        this.count += 1;
    }

    remove(waiting: WaitingRequest): void {
        const key = waiting.streamKey;
        const stream = this.streams.get(key)!;
        stream.remove(waiting);
        this.count -= 1;
        if (stream.size === 0) {
            this.streams.delete(key);
        }
    }

    /** Returns the most urgent request of the software versions for which `mayUse` returns true. */
    first(opts: {
        order: (left: Urgency, right: Urgency) => number;
        lateBeforeMs: number;
        mayUse: (softwareVersion: SoftwareVersion | undefined) => boolean;
    }): RankedRequest | undefined {
        return [...this.streams.values()]
            .filter(stream => opts.mayUse(stream.softwareVersion))
            .flatMap(stream => stream.heads(opts.lateBeforeMs))
            .reduce<RankedRequest | undefined>(
                (best, head) => best === undefined || isBefore(head, best, opts.order) ? head : best,
                undefined,
            );
    }

    /** Returns the number of requests that aren't less urgent than `urgency`. */
    countAhead(urgency: Urgency, order: (left: Urgency, right: Urgency) => number, lateBeforeMs: number): number {
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
