// Requests were placed by slots alone: an upstream with free slots got them, whatever rate it had said it takes.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallLimits } from "../src/callLimits.js";
import { LeastLoadedPlacement } from "../src/leastLoadedPlacement.js";
import { LoadTracker } from "../src/loadTracker.js";
import type { QueuedRequest } from "../src/queuedRequest.js";
import { RequestQueue } from "../src/requestQueue.js";
import { ServiceTimes } from "../src/serviceTimes.js";
import { upstreamOf } from "./upstreamOf.js";

interface Outcome {
    placedAt: string | undefined;
    retryAfterMs: number | undefined;
    isWaiting: boolean;
}

/** Returns a queue in front of `upstreams`, where those in `limited` have no room, and take 2 requests a second. */
function setUp(upstreams: Upstream[], limited: Set<string>) {
    const clock = new ManualClock();
    const random = new SeededRandom(1);
    const loadTracker = new LoadTracker();
    const limits: CallLimits = {
        mayCall: ({ id }) => !limited.has(id),
        usedShare: ({ id }) => limited.has(id) ? 1 : 0,
        usableSlots: ({ id, slots }, meanHoldMs) => limited.has(id) ? 2 * meanHoldMs / 1000 : slots,
    };
    const placement = new LeastLoadedPlacement({
        loadTracker,
        random,
        zone: "z" as Upstream["zone"],
        connectionShare: () => Infinity,
        placingPeers: () => 0,
        limits,
    });
    const queue = new RequestQueue({
        clock,
        random,
        loadTracker,
        serviceTimes: new ServiceTimes(),
        placement,
        limits,
        usableUpstreams: () => upstreams,
        teams: () => undefined,
    });
    const submit = (change: Partial<QueuedRequest> = {}): Outcome => {
        const outcome: Outcome = { placedAt: undefined, retryAfterMs: undefined, isWaiting: false };
        queue.submit({
            team: undefined,
            promptParts: [],
            service: "s" as ServiceName,
            softwareVersion: undefined,
            isStarted: false,
            priority: 0,
            arrivedAtMs: clock.nowMs(),
            objectiveAtMs: clock.nowMs() + 700,
            callerTimeoutAtMs: clock.nowMs() + 2000,
            deadlineAtMs: clock.nowMs() + 9000,
            isRetry: false,
            excluded: new Set(),
            blockedForMs: () => 0,
            onPlaced: upstream => {
                outcome.placedAt = upstream.id;
            },
            onWaiting: () => {
                outcome.isWaiting = true;
            },
            onRejected: retryAfterMs => {
                outcome.retryAfterMs = retryAfterMs;
            },
            ...change,
        });
        return outcome;
    };
    return { queue, submit };
}

test("a request goes to an upstream whose limit leaves room, and so does its retry", () => {
    const { submit } = setUp([upstreamOf("limited"), upstreamOf("other")], new Set(["limited"]));
    assert.equal(submit().placedAt, "other");
    const retried = submit({ excluded: new Set([upstreamOf("other").id]), isRetry: true });
    assert.deepEqual([retried.placedAt, retried.isWaiting], [undefined, true]);
});

test("requests wait as long as a limit makes them, and those that it makes late are rejected at once", () => {
    const limited = new Set(["limited"]);
    const { queue, submit } = setUp([upstreamOf("limited")], limited);
    const [first, second, third] = [submit(), submit(), submit()];
    // At 2 a second, the first one gets its turn after 500 ms, which is within its objective.
    assert.deepEqual([first, second, third].map(({ isWaiting }) => isWaiting), [true, false, false]);
    assert.ok(second.retryAfterMs! >= 1000 && third.retryAfterMs! >= 1000);
    limited.clear();
    queue.dispatch();
    assert.equal(first.placedAt, "limited");
});
