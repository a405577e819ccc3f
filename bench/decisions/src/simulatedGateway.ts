import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import { HoldTimes } from "@knapweedwood/fleet.load/holdTimes";
import { LeastLoadedPlacement } from "@knapweedwood/fleet.load/leastLoadedPlacement";
import { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { BoardReporter } from "./boardReporter.js";
import type { CallQueue } from "./callQueue.js";
import type { DecisionPolicy } from "./decisionPolicy.js";
import { ForwardAtOnce } from "./forwardAtOnce.js";
import { WaitInOrder } from "./waitInOrder.js";

/** One gateway: the decisions of the real one, without its connections. */
export class SimulatedGateway {
    readonly queue: CallQueue;
    readonly reporter: BoardReporter;
    readonly holdTimes = new HoldTimes();

    constructor(opts: {
        clock: Clock;
        random: Random;
        policy: DecisionPolicy;
        zone: ZoneName;
        index: number;
        upstreams: () => Upstream[];
    }) {
        const { clock, random, zone, upstreams } = opts;
        this.reporter = new BoardReporter(`gateway-${opts.index}`, () => room.waitingCounts());
        const { board } = this.reporter;
        const placement = new LeastLoadedPlacement({
            loadTracker: board,
            random,
            zone,
            connectionShare: () => Infinity,
        });
        const room = new RequestQueue({
            clock,
            random,
            loadTracker: board,
            holdTimes: this.holdTimes,
            placement,
            usableUpstreams: upstreams,
        });
        switch (opts.policy) {
            case "ours":
                this.queue = room;
                break;
            case "first-come":
                this.queue = new WaitInOrder(room);
                break;
            case "forwarder":
                this.queue = new ForwardAtOnce({ board, upstreams });
        }
    }
}
