// A request came again at any process, was repeated at all upstreams of its service, and ended them each time.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestQuarantine } from "../src/requestQuarantine.js";
import type { Suspicion } from "../src/suspicion.js";
import { SimulatedQuarantineFleet } from "./simulatedQuarantineFleet.js";

const PROCESSES = 8;
/** From the rule: retries that begin later than this after the third crash, at undisturbed processes. */
const CONTACT_MS = 3000;
const COUNTED_CRASHES = 3;
const MAX_LATER_RUNS = 3;
const STEP_MS = 40;
const POLLS = 4;
const WARM_UP_STEPS = 40;
/** Time after which a quarantine that is not needed has been dropped, in milliseconds. */
const DROPPED_AFTER_MS = 620_000;
const ARRIVAL_INTERVAL_MS = 20_000;

const step = fc.record({
    kind: fc.oneof(
        { weight: 1, arbitrary: fc.constant("bad" as const) },
        { weight: 32, arbitrary: fc.constant("poll" as const) },
        { weight: 32, arbitrary: fc.constant("single" as const) },
        { weight: 8, arbitrary: fc.constantFrom("restart" as const, "cut" as const, "connect" as const) },
    ),
    process: fc.integer({ min: 0, max: PROCESSES - 1 }),
});

/** Plays the steps after a while with sound requests only, and returns the fleet and its requests. */
async function play(
    steps: (typeof step extends fc.Arbitrary<infer S> ? S : never)[],
    opts: { seed: number; maxAttempts: number; },
) {
    const fleet = new SimulatedQuarantineFleet({ processes: PROCESSES, seed: opts.seed });
    fleet.maxAttempts = opts.maxAttempts;
    fleet.network.lossShare = 0.1;
    fleet.network.maxExtraDelayMs = 30;
    const bad = fleet.createRequest("bad", true);
    const polls = Array.from({ length: POLLS }, (_, index) => fleet.createRequest(`poll-${index}`, false));
    const singles: (typeof bad)[] = [];
    const actions = {
        bad: (process: number) => fleet.arrive(process, bad),
        poll: (process: number, index: number) => fleet.arrive(process, polls[index % POLLS]!),
        // Callers of requests that were broken off send them again.
        single: (process: number, index: number) => {
            const broken = singles.find(request =>
                !request.hasSucceeded && request.cutAtMs.length > 0 && request.runs === 0
            );
            const request = broken ?? fleet.createRequest(`single-${index}`, false);
            singles.push(request);
            fleet.arrive(process, request);
        },
        restart: (process: number) => fleet.restart(process),
        cut: (process: number) => fleet.setCut(process, true),
        connect: (process: number) => fleet.setCut(process, false),
    };
    const warmUp = Array.from({ length: WARM_UP_STEPS }, (_, index) => ({ kind: "poll" as const, process: index % 8 }));
    for (const [index, { kind, process }] of [...warmUp, ...steps].entries()) {
        actions[kind](process, index);
        actions.poll((process + index) % PROCESSES, index + 1);
        actions.single((process + 1) % PROCESSES, -index);
        await fleet.clock.advance(STEP_MS);
    }
    return { fleet, bad, polls, singles };
}

test("a request that crashes upstreams is rejected everywhere, with processes cut off, restarted and late", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(step, { minLength: 600, maxLength: 800 }),
            fc.nat(1000),
            fc.integer({ min: 1, max: 3 }),
            async (steps, seed, maxAttempts) => {
                const { fleet, polls, singles } = await play(steps, { seed, maxAttempts });
                const countedFromMs = (fleet.crashesAtMs[COUNTED_CRASHES - 1] ?? Infinity) + CONTACT_MS;
                const later = fleet.badRuns.filter(run => run.atMs > countedFromMs && run.undisturbedMs >= CONTACT_MS);
                assert.ok(later.length <= MAX_LATER_RUNS, `${later.length} runs`);
                const unfounded = [...polls, ...singles].filter(request => request.unfoundedRejections > 0);
                assert.deepEqual(unfounded, []);
            },
        ),
        { seed: 27, numRuns: 40 },
    );
});

// The leader runs items only, and may never have seen a complete response of the service.
test("a process that knows of no success of the service learns from its peers that a request crashes upstreams", async () => {
    const fleet = new SimulatedQuarantineFleet({ processes: 2, seed: 1 });
    fleet.arrive(1, fleet.createRequest("sound", false));
    await fleet.clock.advance(400);
    const bad = fleet.createRequest("bad", true);
    fleet.arrive(0, bad);
    await fleet.clock.advance(CONTACT_MS);
    assert.equal(fleet.badRuns.length, COUNTED_CRASHES);
    fleet.arrive(0, bad);
    await fleet.clock.advance(CONTACT_MS);
    assert.equal(fleet.badRuns.length, COUNTED_CRASHES);
});

// A failing network breaks off each request at one upstream after another, though none of them is at fault.
test("requests that are all broken off at three upstreams in a row are not quarantined", async () => {
    const fleet = new SimulatedQuarantineFleet({ processes: PROCESSES, seed: 1 });
    Array.from({ length: PROCESSES }).forEach((_, index) => fleet.arrive(index, fleet.createRequest("poll", false)));
    await fleet.clock.advance(400);
    const requests = Array.from({ length: 40 }, (_, index) => fleet.createRequest(`single-${index}`, false));
    requests.forEach((request, index) => fleet.arrive(index % PROCESSES, request));
    for (let crash = 0; crash < COUNTED_CRASHES; crash += 1) {
        fleet.crashUpstream();
        await fleet.clock.advance(10);
    }
    const broken = requests.filter(request => request.cutAtMs.length === COUNTED_CRASHES);
    assert.ok(broken.length > 1, `${broken.length} requests were broken off three times`);
    await fleet.clock.advance(CONTACT_MS);
    broken.forEach((request, index) => fleet.arrive(index % PROCESSES, request));
    await fleet.clock.advance(CONTACT_MS);
    assert.deepEqual(requests.filter(request => request.rejections > 0), []);
});

async function playUntilQuarantined() {
    const fleet = new SimulatedQuarantineFleet({ processes: PROCESSES, seed: 1 });
    Array.from({ length: PROCESSES }).forEach((_, index) => fleet.arrive(index, fleet.createRequest("poll", false)));
    await fleet.clock.advance(400);
    const bad = fleet.createRequest("bad", true);
    fleet.arrive(0, bad);
    await fleet.clock.advance(CONTACT_MS);
    return { fleet, bad };
}

// Each request that was ever quarantined would have stayed in all processes and in the key-value service.
test("a quarantined request that nobody sends any more is dropped by all processes and from the key-value service", async () => {
    const { fleet, bad } = await playUntilQuarantined();
    assert.equal(fleet.storedCount, 1);
    await fleet.clock.advance(DROPPED_AFTER_MS);
    assert.equal(fleet.storedCount, 0);
    assert.ok(!fleet.isBlocked(bad));
    Array.from({ length: PROCESSES }).forEach((_, index) => fleet.restart(index));
    await fleet.clock.advance(CONTACT_MS);
    assert.ok(!fleet.isBlocked(bad));
});

test("a quarantined request that comes at one process only stays quarantined at all of them", async () => {
    const { fleet, bad } = await playUntilQuarantined();
    for (let passedMs = 0; passedMs < DROPPED_AFTER_MS; passedMs += ARRIVAL_INTERVAL_MS) {
        fleet.arrive(0, bad);
        await fleet.clock.advance(ARRIVAL_INTERVAL_MS);
    }
    assert.equal(fleet.storedCount, 1);
    assert.ok(fleet.isBlocked(bad));
});

// Several processes each saw a crash of the same request, and the quarantine that followed was never stored.
test("a quarantine that follows from what several processes saw is stored", () => {
    const stored: Suspicion[] = [];
    const quarantine = new RequestQuarantine({
        clock: new ManualClock(),
        random: new SeededRandom(1),
        logger: silentLogger,
        publish: () => undefined,
        listedAtMs: () => -Infinity,
        upstreamCount: () => 3,
        store: suspicion => stored.push(suspicion),
        remove: () => undefined,
        onChanged: () => undefined,
    });
    const service = "s" as ServiceName;
    const upstream = { id: "u", startedAtMs: 1 } as Upstream;
    quarantine.onSuccess(quarantine.begin(service, ["request:sound" as RequestFingerprint]), upstream);
    const crashes = ["a", "b", "c"] as UpstreamProcessKey[];
    const part = "request:bad" as RequestFingerprint;
    const state = { disproofs: 0, rounds: 3, hasSucceeded: false, isQuarantined: false, probes: 0 };
    quarantine.merge([{ service, part, crashes, ...state }]);
    assert.deepEqual(stored.map(one => [one.part, one.isQuarantined]), [[part, true]]);
});
