import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { decideAdmission } from "./decideAdmission.js";
import { FIRST_RESPONSE_MS } from "./firstResponseMs.js";
import type { HoldTimes } from "./holdTimes.js";
import type { LoadTracker } from "./loadTracker.js";
import type { PlacementPolicy } from "./placementPolicy.js";
import type { WaitingCall } from "./waitingCall.js";

/** Spread of the times at which refused callers come back, as a share. */
const RETRY_SPREAD = 0.3;

interface WaitingRoomOptions {
    clock: Clock;
    random: Random;
    board: LoadTracker;
    holdTimes: HoldTimes;
    placement: PlacementPolicy;
    /** Upstreams of a service that may get requests now. */
    usable: (service: ServiceName) => Upstream[];
}

/**
 * Where online requests wait for a slot: here, and not in the queue of an upstream, where they could neither be placed
 * elsewhere nor be refused.
 */
export class WaitingRoom {
    private readonly opts: WaitingRoomOptions;
    private calls: WaitingCall[] = [];

    constructor(opts: WaitingRoomOptions) {
        this.opts = opts;
    }

    /** Places the request, lets it wait or refuses it. */
    enter(call: WaitingCall): void {
        const nowMs = this.opts.clock.nowMs();
        const isFirstInLine = !this.calls.some(other =>
            other.service === call.service && compare(other, call, nowMs) < 0
        );
        const upstream = isFirstInLine ? this.place(call) : undefined;
        if (upstream !== undefined) {
            call.onPlaced(upstream);
            return;
        }
        const decision = decideAdmission(this.inputsOf(call));
        if (decision.kind === "refuse") {
            this.refuse(call, decision.retryAfterMs, "no slot in time");
            return;
        }
        this.calls.push(call);
    }

    /** Takes out a request whose caller left. */
    leave(call: WaitingCall): void {
        this.calls = this.calls.filter(other => other !== call);
    }

    /** Places waiting requests where slots have come free, and refuses those whose callers give up. */
    pump(): void {
        const nowMs = this.opts.clock.nowMs();
        this.calls.filter(call => call.giveUpAtMs <= nowMs).forEach(call => {
            this.leave(call);
            this.refuse(call, 0, "the caller's time is up");
        });
        // A service without a free place can't take a later request either.
        const full = new Set<ServiceName>();
        this.calls.sort((left, right) => compare(left, right, nowMs));
        [...this.calls].forEach(call => {
            const upstream = full.has(call.service) ? undefined : this.place(call);
            if (upstream === undefined) {
                full.add(call.service);
                return;
            }
            this.leave(call);
            call.onPlaced(upstream);
        });
    }

    /** Waiting requests by service, shape [services]. */
    waiting(): { service: ServiceName; count: number; }[] {
        return [...new Set(this.calls.map(call => call.service))].map(service => ({
            service,
            count: this.calls.filter(call => call.service === service).length,
        }));
    }

    private place(call: WaitingCall): Upstream | undefined {
        const candidates = this.opts.usable(call.service).filter(upstream => !call.excluded.has(upstream.id));
        return this.opts.placement.placeOnline(candidates);
    }

    private inputsOf(call: WaitingCall) {
        const nowMs = this.opts.clock.nowMs();
        const same = this.calls.filter(other => other.service === call.service);
        const ahead = same.filter(other => compare(other, call, nowMs) <= 0);
        // The others tell how many wait, not which; they are taken to be as those here.
        const shareAhead = same.length === 0 ? 1 : ahead.length / same.length;
        return {
            waitingAhead: ahead.length + this.opts.board.waitingAtPeers(call.service) * shareAhead,
            slots: this.opts.usable(call.service).reduce((sum, upstream) => sum + upstream.slots, 0),
            meanHoldMs: this.opts.holdTimes.meanMs(call.service),
            objectiveLeftMs: call.objectiveAtMs - nowMs,
            patienceLeftMs: call.giveUpAtMs - nowMs,
            isReturned: call.isReturned,
        };
    }

    private refuse(call: WaitingCall, retryAfterMs: number, reason: string): void {
        call.onRefused(retryAfterMs * (1 + this.opts.random.next() * RETRY_SPREAD), reason);
    }
}

/**
 * The urgent first; among equals those that can still be on time, then those that came back, then the earlier ones. Late
 * requests ahead of the others would make each of these late in turn.
 */
function compare(left: WaitingCall, right: WaitingCall, nowMs: number): number {
    const isLate = (call: WaitingCall) => Number(nowMs + FIRST_RESPONSE_MS > call.objectiveAtMs);
    return left.priority - right.priority
        || isLate(left) - isLate(right)
        || Number(left.isReturned) - Number(right.isReturned)
        || left.arrivedAtMs - right.arrivedAtMs;
}
