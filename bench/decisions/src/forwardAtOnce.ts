import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { CallQueue } from "./callQueue.js";

/** A plain forwarder: each request goes at once where this gateway has the fewest in flight, full or not. */
export class ForwardAtOnce implements CallQueue {
    private readonly board: LoadTracker;
    private readonly upstreams: () => Upstream[];

    constructor(opts: { board: LoadTracker; upstreams: () => Upstream[]; }) {
        this.board = opts.board;
        this.upstreams = opts.upstreams;
    }

    submit(call: QueuedRequest): void {
        const loads = this.upstreams().map(upstream => ({ upstream, own: this.board.ownOnlineCount(upstream.id) }));
        const [best] = loads.sort((left, right) => left.own - right.own);
        if (best !== undefined) {
            call.onPlaced(best.upstream);
        }
    }

    remove(): void {}

    dispatch(): void {}
}
