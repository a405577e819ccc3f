import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import { LeastLoadedPlacement } from "@knapweedwood/fleet.load/leastLoadedPlacement";
import { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import { ServiceTimes } from "@knapweedwood/fleet.load/serviceTimes";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { CallQueue } from "./callQueue.js";
import type { DecisionPolicy } from "./decisionPolicy.js";
import { FirstComeQueue } from "./firstComeQueue.js";
import { ImmediateForwarder } from "./immediateForwarder.js";
import { LoadReporter } from "./loadReporter.js";

/** Simulates one gateway: makes the real placement decisions, without connections. */
export class SimulatedGateway {
    readonly queue: CallQueue;
    readonly reporter: LoadReporter;
    readonly serviceTimes = new ServiceTimes();

    constructor(opts: {
        clock: Clock;
        random: Random;
        policy: DecisionPolicy;
        zone: ZoneName;
        index: number;
        upstreams: () => Upstream[];
        placingPeers: () => number;
        /** The teams whose shares the policy takes into account, shape [teams]; undefined if callers have none. */
        teams: readonly Team[] | undefined;
    }) {
        const { clock, random, zone, upstreams } = opts;
        this.reporter = new LoadReporter(`gateway-${opts.index}`, () => requestQueue.waitingCounts());
        const { loadTracker } = this.reporter;
        const placement = new LeastLoadedPlacement({
            loadTracker,
            random,
            zone,
            connectionShare: () => Infinity,
            placingPeers: opts.placingPeers,
        });
        const requestQueue = new RequestQueue({
            clock,
            random,
            loadTracker,
            serviceTimes: this.serviceTimes,
            placement,
            usableUpstreams: upstreams,
            teams: () => opts.policy === "ours" ? opts.teams : undefined,
        });
        switch (opts.policy) {
            case "ours":
                this.queue = requestQueue;
                break;
            case "first-come":
                this.queue = new FirstComeQueue(requestQueue);
                break;
            case "forwarder":
                this.queue = new ImmediateForwarder({ loadTracker, upstreams });
        }
    }
}
