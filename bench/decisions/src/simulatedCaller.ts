import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Random } from "@knapweedwood/core.random/random";
import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { CallOutcome } from "./callOutcome.js";
import type { CallOutcomes } from "./callOutcomes.js";
import type { EngineRun } from "./engineRun.js";
import type { SimulatedEngine } from "./simulatedEngine.js";
import type { SimulatedGateway } from "./simulatedGateway.js";

/** Time to the first event that a caller expects. */
const OBJECTIVE_MS = 300;
/** A caller abandons a call after this time without an event. */
const CALLER_TIMEOUT_MS = 1950;
/** Time from an attempt to the deadline of its caller, in milliseconds. */
const DEADLINE_MS = 5000;
/** Mean time for which a call holds a slot of an engine. */
const MEAN_HOLD_MS = 720;
/** Time from the start on an engine to the first event, without the round trip. */
const FIRST_EVENT_MS = 40;
/** Round trip between caller, gateway and engine. */
const ROUND_TRIP_MS = 8;

/** Simulates one caller: sends a request, retries once after a rejection, and abandons the call at its timeout. */
export class SimulatedCaller {
    private readonly opts: {
        clock: Clock;
        random: Random;
        gateways: SimulatedGateway[];
        engines: SimulatedEngine[];
        outcomes: CallOutcomes;
        team: Team | undefined;
    };
    private readonly outcome: CallOutcome;
    private readonly holdMs: number;
    private attempts = 0;

    constructor(opts: SimulatedCaller["opts"]) {
        this.opts = opts;
        this.outcome = {
            teamId: opts.team?.id,
            arrivedAtMs: opts.clock.nowMs(),
            lastAttemptAtMs: opts.clock.nowMs(),
            firstEventAtMs: undefined,
            rejections: 0,
        };
        this.holdMs = MEAN_HOLD_MS * (0.5 + opts.random.next());
    }

    /** Adds the outcome to the collected ones and sends the first request. */
    start(): void {
        this.opts.outcomes.add(this.outcome);
        this.sendRequest();
    }

    private sendRequest(): void {
        const { clock, random, gateways } = this.opts;
        this.attempts += 1;
        const gateway = gateways[random.nextInteger(gateways.length)]!;
        const nowMs = clock.nowMs();
        this.outcome.lastAttemptAtMs = nowMs;
        const call: QueuedRequest = {
            team: this.opts.team,
            promptParts: [],
            service: "model" as ServiceName,
            softwareVersion: undefined,
            isStarted: false,
            priority: this.opts.team?.priority ?? 0,
            arrivedAtMs: nowMs,
            objectiveAtMs: nowMs + OBJECTIVE_MS,
            callerTimeoutAtMs: nowMs + CALLER_TIMEOUT_MS,
            deadlineAtMs: nowMs + DEADLINE_MS,
            isRetry: this.attempts > 1,
            excluded: new Set<UpstreamId>(),
            blockedForMs: () => 0,
            onPlaced: upstream => this.run(gateway, upstream),
            onWaiting: () => undefined,
            onRejected: retryAfterMs => this.onRejected(retryAfterMs),
        };
        gateway.queue.submit(call);
    }

    private run(gateway: SimulatedGateway, upstream: Upstream): void {
        const { clock, engines } = this.opts;
        const engine = engines.find(candidate => candidate.upstream.id === upstream.id)!;
        const { loadTracker } = gateway.reporter;
        loadTracker.count(upstream.id, "online", 1);
        const startedAtMs = clock.nowMs();
        const releaseSlot = () => {
            loadTracker.count(upstream.id, "online", -1);
            gateway.queue.dispatch();
        };
        const callerTimer = clock.setTimer(CALLER_TIMEOUT_MS, () => {
            engine.abort(run);
            releaseSlot();
        });
        const run: EngineRun = {
            firstEventMs: FIRST_EVENT_MS + ROUND_TRIP_MS,
            holdMs: this.holdMs,
            onFirstEvent: () => {
                callerTimer.cancel();
                this.outcome.firstEventAtMs = clock.nowMs();
            },
            onEnd: () => {
                gateway.serviceTimes.recordFirstData(upstream.service, FIRST_EVENT_MS + ROUND_TRIP_MS);
                gateway.serviceTimes.recordHold(upstream.service, clock.nowMs() - startedAtMs);
                releaseSlot();
            },
        };
        if (!engine.submit(run)) {
            callerTimer.cancel();
            releaseSlot();
            this.onRejected(0);
        }
    }

    private onRejected(retryAfterMs: number): void {
        this.outcome.rejections += 1;
        if (this.attempts === 1) {
            this.opts.clock.setTimer(retryAfterMs + ROUND_TRIP_MS, () => this.sendRequest());
        }
    }
}
