import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetStep, TargetStep } from "./fleetStep.js";
import type { RunBehaviour } from "./runBehaviour.js";
import { SimulatedJobFleet } from "./simulatedJobFleet.js";

/** Drawn cases, their seed and the path of a case to replay. A long run by hand sets them in the environment. */
const RUNS = Number(process.env.INTERLEAVING_RUNS ?? 100);
const SEED = Number(process.env.INTERLEAVING_SEED ?? 1);
const REPLAYED_PATH = process.env.INTERLEAVING_PATH ?? "";
const MAX_CASE_MS = 2000;
const MAX_STEPS = 40;
const MAX_SEED = 1_000_000;

const target = fc.oneof(
    { weight: 2, arbitrary: fc.constant("leader" as const) },
    { weight: 1, arbitrary: fc.nat({ max: 2 }) },
);
/** Some processes are down for longer than jobs are kept. */
const downMs = fc.oneof(fc.integer({ min: 10, max: 6000 }), fc.integer({ min: 10, max: 40_000 }));
/** A case without removals keeps all results. */
const resultRetentionMs = fc.constantFrom(3000, 10_000, Infinity);
const durationMs = fc.integer({ min: 100, max: 8000 });
const behaviour: fc.Arbitrary<RunBehaviour> = fc.record({
    kind: fc.constantFrom<RunBehaviour["kind"]>(
        "completed",
        "broken",
        "cut",
        "silent",
        "out-of-order",
        "failed",
        "failed",
        "impossible",
        "not-run",
    ),
    events: fc.nat({ max: 60 }),
    eventMs: fc.constantFrom(5, 20, 100),
});
const submit = fc.record({
    kind: fc.constant("submit" as const),
    jobs: fc.integer({ min: 1, max: 3 }),
    items: fc.oneof(
        { weight: 4, arbitrary: fc.integer({ min: 1, max: 3 }) },
        { weight: 4, arbitrary: fc.integer({ min: 1, max: 20 }) },
        // The removal of this many results takes several writes.
        { weight: 1, arbitrary: fc.integer({ min: 32, max: 70 }) },
    ),
    retentionMs: fc.constantFrom(100, 3000, 12_000, 600_000),
    via: fc.constantFrom<"store" | "held" | "both" | "resent">("store", "store", "held", "both", "resent"),
    delayMs: fc.integer({ min: 0, max: 4000 }),
    holderDownMs: fc.option(downMs, { nil: undefined, freq: 2 }),
    failsAs: fc.constantFrom<"failed" | "impossible" | undefined>(
        undefined,
        undefined,
        undefined,
        "failed",
        "impossible",
    ),
});
const stopsClock = fc.boolean();
const disturbance: fc.Arbitrary<TargetStep> = fc.oneof(
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("kill" as const), target, downMs }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("replace" as const), target, downMs }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("freeze" as const), target, durationMs, stopsClock }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("cut-off" as const),
            target,
            state: fc.constantFrom("rejected" as const, "silent" as const),
            durationMs,
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("lose-responses" as const),
            target,
            count: fc.integer({ min: 1, max: 8 }),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("late-writes" as const),
            target,
            delaysMs: fc.array(fc.integer({ min: 100, max: 8000 }), { minLength: 1, maxLength: 6 }),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("slow-reads" as const),
            target,
            maxDelayMs: fc.constantFrom(20, 100, 300, 900),
        }),
    },
);
const step: fc.Arbitrary<FleetStep> = fc.oneof(
    { weight: 4, arbitrary: submit },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("wait" as const) }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("run" as const),
            behaviours: fc.array(behaviour, { minLength: 1, maxLength: 10 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cancel" as const), job: fc.nat({ max: 10 }) }) },
    { weight: 13, arbitrary: disturbance },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("at-removal" as const), disturbance }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("lose-power" as const), downMs }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("end-lease" as const) }) },
);
const waitMs = fc.oneof(fc.integer({ min: 10, max: 300 }), fc.integer({ min: 10, max: 5000 }));
const steps = fc.array(fc.tuple(step, waitMs), { minLength: 5, maxLength: MAX_STEPS, size: "max" });

// A new leader that had the jobs before their results gave up items a second time. Such faults need events in one order.
// Here leaders change, processes freeze, runs end, writes arrive late and jobs are removed in drawn orders, and copies of jobs
// come back on disks. A failure prints seed and path.
test("however leaders, writes and runs interleave, each item gets one result at one lasting position", async () => {
    await fc.assert(
        fc.asyncProperty(fc.nat({ max: MAX_SEED }), resultRetentionMs, steps, async (seed, retentionMs, drawn) => {
            const fleet = new SimulatedJobFleet({ seed, resultRetentionMs: retentionMs });
            try {
                for (const [one, pauseMs] of drawn) {
                    await fleet.step(one, pauseMs);
                    assert.deepEqual(fleet.observer.violations, []);
                }
                await fleet.calmDown();
                assert.deepEqual(fleet.observer.violations, []);
            }
            finally {
                fleet.close();
            }
        }),
        {
            seed: SEED,
            numRuns: RUNS,
            path: REPLAYED_PATH,
            includeErrorInReport: true,
            // Otherwise the time limit of the test ends the search for a smaller case before the failure is printed.
            interruptAfterTimeLimit: RUNS * MAX_CASE_MS,
            markInterruptAsFailure: true,
        },
    );
});
