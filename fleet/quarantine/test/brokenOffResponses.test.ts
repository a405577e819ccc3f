// Upstreams broke off single responses and lived on. A sound request that met three of them in a row was taken for one that
// crashes upstreams, and rejected for half a minute and more.
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedQuarantineFleet } from "./simulatedQuarantineFleet.js";

const PROCESSES = 8;
const CONVICTING_CRASHES = 3;
const STEP_MS = 40;
/** From the rule: retries that begin later than this after the third crash, at undisturbed processes. */
const CONTACT_MS = 5000;
const MAX_LATER_RUNS = 3;
const WARM_UP_MS = 1600;
const RECOVERY_MS = 12_000;
/** Time in which the responses of the upstreams to other requests have shown that they did not crash, in milliseconds. */
const PROVEN_AFTER_MS = 7000;

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

const step = fc.record({
    kind: fc.oneof(
        { weight: 1, arbitrary: fc.constant("bad" as const) },
        { weight: 40, arbitrary: fc.constant("single" as const) },
        { weight: 6, arbitrary: fc.constantFrom("restart" as const, "cut" as const, "connect" as const) },
        { weight: 3, arbitrary: fc.constantFrom("cut-from-store" as const, "connect-to-store" as const) },
        { weight: 2, arbitrary: fc.constantFrom("begin-breaking-off" as const, "end-breaking-off" as const) },
    ),
    process: fc.integer({ min: 0, max: PROCESSES - 1 }),
});

/** Plays the steps among polls, then a while without trouble. Returns the fleet and its sound requests. */
async function play(steps: readonly Step[], opts: { seed: number; maxAttempts: number; }) {
    const fleet = new SimulatedQuarantineFleet({ processes: PROCESSES, seed: opts.seed });
    fleet.maxAttempts = opts.maxAttempts;
    fleet.network.lossShare = 0.1;
    fleet.network.maxExtraDelayMs = 30;
    await playPolls(fleet, WARM_UP_MS);
    const bad = fleet.createRequest("bad", true);
    const singles: (typeof bad)[] = [];
    const actions = {
        "bad": (process: number) => fleet.arrive(process, bad),
        // Callers of requests that were broken off send them again.
        "single": (process: number) => {
            const broken = singles.find(one => !one.hasSucceeded && one.cutAtMs.length > 0 && one.runs === 0);
            const request = broken ?? fleet.createRequest(`single-${singles.length}`, false);
            singles.push(request);
            fleet.arrive(process, request);
        },
        "restart": (process: number) => fleet.restart(process),
        "cut": (process: number) => fleet.setCut(process, true),
        "connect": (process: number) => fleet.setCut(process, false),
        "cut-from-store": (process: number) => fleet.setCutFromStore(process, true),
        "connect-to-store": (process: number) => fleet.setCutFromStore(process, false),
        "begin-breaking-off": () => {
            fleet.breakOffShare = 0.5;
        },
        "end-breaking-off": () => {
            fleet.breakOffShare = 0;
        },
    };
    for (const { kind, process } of steps) {
        actions[kind](process);
        await playPolls(fleet, STEP_MS);
    }
    actions["end-breaking-off"]();
    Array.from({ length: PROCESSES }).forEach((_, process) => {
        fleet.setCut(process, false);
        fleet.setCutFromStore(process, false);
    });
    await playPolls(fleet, RECOVERY_MS);
    return { fleet, singles };
}

/** Sends requests that come again and succeed, each `STEP_MS` at another process. */
async function playPolls(fleet: SimulatedQuarantineFleet, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        const process = fleet.clock.nowMs() / STEP_MS % PROCESSES;
        fleet.arrive(process, fleet.createRequest(`poll-${process}`, false));
        await fleet.clock.advance(STEP_MS);
    }
}

test("a request that three living upstreams broke off runs again soon", async () => {
    const fleet = new SimulatedQuarantineFleet({ processes: PROCESSES, seed: 1 });
    await playPolls(fleet, 1000);
    const request = fleet.createRequest("broken-off", false);
    request.runsToBreakOff = CONVICTING_CRASHES;
    fleet.arrive(0, request);
    await playPolls(fleet, PROVEN_AFTER_MS);
    assert.equal(request.cutAtMs.length, CONVICTING_CRASHES);
    assert.ok(!fleet.isBlockedAnywhere(request));
    fleet.arrive(0, request);
    await playPolls(fleet, 1000);
    assert.ok(request.hasSucceeded);
});

// An upstream may start again under its id. A process that can't read its new entry takes its responses for those of the
// process that crashed.
test("a process cut off from the key-value service doesn't clear a request that crashed upstreams", async () => {
    const fleet = new SimulatedQuarantineFleet({ processes: PROCESSES, seed: 1 });
    await playPolls(fleet, 1000);
    fleet.setCutFromStore(1, true);
    const bad = fleet.createRequest("bad", true);
    fleet.arrive(0, bad);
    await playPolls(fleet, RECOVERY_MS);
    assert.ok(fleet.isBlocked(bad));
    fleet.setCutFromStore(1, false);
    await playPolls(fleet, RECOVERY_MS);
    assert.ok(fleet.isBlocked(bad));
    assert.equal(fleet.badRuns.length, CONVICTING_CRASHES);
});

test("responses broken off by living upstreams neither hide a request that crashes them nor convict others", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(step, { minLength: 500, maxLength: 700 }),
            fc.nat(1000),
            fc.integer({ min: 1, max: 3 }),
            async (steps, seed, maxAttempts) => {
                const { fleet, singles } = await play(steps, { seed, maxAttempts });
                const countedFromMs = (fleet.crashesAtMs[CONVICTING_CRASHES - 1] ?? Infinity) + CONTACT_MS;
                const later = fleet.badRuns.filter(run => run.atMs > countedFromMs && run.undisturbedMs >= CONTACT_MS);
                assert.ok(later.length <= MAX_LATER_RUNS, `${later.length} runs`);
                const unfounded = singles.filter(request =>
                    fleet.isBlockedAnywhere(request) && fleet.endedUpstreams(request) < CONVICTING_CRASHES
                );
                assert.deepEqual(unfounded, []);
            },
        ),
        { seed: 30, numRuns: 15, endOnFailure: true },
    );
});
