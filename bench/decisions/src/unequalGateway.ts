import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Random } from "@knapweedwood/core.random/random";
import { LeastLoadedPlacement } from "@knapweedwood/fleet.load/leastLoadedPlacement";
import { MeanSlowness } from "@knapweedwood/fleet.load/meanSlowness";
import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import { ServiceTimes } from "@knapweedwood/fleet.load/serviceTimes";
import { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { LoadReporter } from "./loadReporter.js";
import type { StreamOutcome } from "./streamOutcome.js";
import type { UnequalEngine } from "./unequalEngine.js";

const OBJECTIVE_MS = 300;
const CALLER_TIMEOUT_MS = 1950;
const DEADLINE_MS = 5000;
/** Round trip between gateway and engine. */
const ROUND_TRIP_MS = 4;
/** Bounds of the time to the first event at mean speed, and of the number of events. */
const FIRST_EVENT_MS = { min: 20, max: 50 };
const EVENTS = { min: 30, max: 90 };

interface UnequalGatewayOptions {
    clock: Clock;
    random: Random;
    index: number;
    zone: ZoneName;
    placingPeers: number;
    /** Whether the gateway learns the speeds of engines and places by them. */
    usesSpeeds: boolean;
    engines: () => readonly UnequalEngine[];
}

/** Simulates a gateway whose requests are streams of engines of unequal speed. */
export class UnequalGateway {
    readonly speeds: UpstreamSpeeds;
    readonly reporter: LoadReporter;
    readonly queue: RequestQueue;
    private readonly opts: UnequalGatewayOptions;
    private readonly serviceTimes: ServiceTimes;

    constructor(opts: UnequalGatewayOptions) {
        this.opts = opts;
        const { clock, random, zone } = opts;
        this.speeds = new UpstreamSpeeds({ clock });
        const usableUpstreams = () => opts.engines().map(engine => engine.upstream);
        const meanSlowness = new MeanSlowness({ clock, speeds: this.speeds, usableUpstreams });
        this.serviceTimes = new ServiceTimes(
            opts.usesSpeeds ? { meanSlowness: service => meanSlowness.of(service) } : {},
        );
        this.reporter = new LoadReporter(
            `gateway-${opts.index}`,
            () => this.queue.waitingCounts(),
            opts.usesSpeeds ? this.speeds : undefined,
        );
        const { loadTracker } = this.reporter;
        this.queue = new RequestQueue({
            clock,
            random,
            loadTracker,
            serviceTimes: this.serviceTimes,
            usableUpstreams,
            teams: () => undefined,
            placement: new LeastLoadedPlacement({
                loadTracker,
                random,
                zone,
                connectionShare: () => Infinity,
                placingPeers: () => opts.placingPeers,
                ...opts.usesSpeeds ? { speeds: this.speeds } : {},
            }),
        });
    }

    /** Handles a call that arrives now. */
    submit(service: ServiceName, outcome: StreamOutcome): void {
        const nowMs = this.opts.clock.nowMs();
        const request: QueuedRequest = {
            team: undefined,
            promptParts: [],
            service,
            softwareVersion: undefined,
            isStarted: false,
            priority: 0,
            arrivedAtMs: nowMs,
            objectiveAtMs: nowMs + OBJECTIVE_MS,
            callerTimeoutAtMs: nowMs + CALLER_TIMEOUT_MS,
            deadlineAtMs: nowMs + DEADLINE_MS,
            isRetry: false,
            excluded: new Set(),
            blockedForMs: () => 0,
            onWaiting: () => undefined,
            onPlaced: upstream => this.run(upstream, outcome),
            onRejected: () => {
                outcome.isRejected = true;
            },
        };
        this.queue.submit(request);
    }

    private run(upstream: Upstream, outcome: StreamOutcome): void {
        const { clock, random, engines } = this.opts;
        const { speeds, serviceTimes, reporter: { loadTracker } } = this;
        const engine = engines().find(candidate => candidate.upstream.id === upstream.id)!;
        const sentAtMs = clock.nowMs();
        let lastEventAtMs = sentAtMs;
        outcome.placedAtMs = sentAtMs;
        outcome.upstreamId = upstream.id;
        loadTracker.count(upstream.id, "online", 1);
        const between = ({ min, max }: typeof EVENTS) => min + random.next() * (max - min);
        const run = {
            firstEventMs: between(FIRST_EVENT_MS),
            eventCount: Math.round(between(EVENTS)),
            onFirstEvent: () => {
                outcome.firstEventAtMs = clock.nowMs() + ROUND_TRIP_MS / 2;
                lastEventAtMs = clock.nowMs();
                serviceTimes.recordFirstData(upstream.service, clock.nowMs() - sentAtMs);
                speeds.recordFirstData(upstream, sentAtMs);
            },
            onEvent: () => {
                speeds.recordEvents(upstream, 1, lastEventAtMs);
                lastEventAtMs = clock.nowMs();
            },
            onEnd: () => {
                serviceTimes.recordHold(upstream.service, clock.nowMs() - sentAtMs);
                speeds.recordHold(upstream, sentAtMs, true);
                loadTracker.count(upstream.id, "online", -1);
                this.queue.dispatch();
            },
        };
        clock.setTimer(ROUND_TRIP_MS / 2, () => engine.submit(run));
    }
}
