import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { CallQueue } from "./callQueue.js";

/**
 * Forwards each request immediately to the upstream with the fewest in-flight requests of this gateway, even where all
 * its slots are taken.
 */
export class ImmediateForwarder implements CallQueue {
    private readonly loadTracker: LoadTracker;
    private readonly upstreams: () => Upstream[];

    constructor(opts: { loadTracker: LoadTracker; upstreams: () => Upstream[]; }) {
        this.loadTracker = opts.loadTracker;
        this.upstreams = opts.upstreams;
    }

    submit(call: QueuedRequest): void {
        const loads = this.upstreams().map(upstream => ({
            upstream,
            own: this.loadTracker.ownOnlineCount(upstream.id),
        }));
        const [best] = loads.sort((left, right) => left.own - right.own);
        if (best !== undefined) {
            call.onPlaced(best.upstream);
        }
    }

    remove(): void {}

    dispatch(): void {}
}
