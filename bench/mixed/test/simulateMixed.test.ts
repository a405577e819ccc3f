import assert from "node:assert/strict";
import { test } from "node:test";
import { benchStepModel } from "../src/benchStepModel.js";
import { createWorkload } from "../src/createWorkload.js";
import { simulateMixed } from "../src/simulateMixed.js";
import { workloadRates } from "../src/workloadRates.js";

const DURATION_MS = 15_000;

test("the gate keeps online tail latency low alongside batch work, unlike first come, first served", async () => {
    const { arms, boundTokens } = await simulateMixed({
        seed: 3,
        durationMs: DURATION_MS,
        engines: 4,
        stepModel: benchStepModel,
        tokenGapObjectiveMs: 70,
        batchBalance: 1,
        arms: ["b", "d"],
    });
    const p99MsOf = (name: "a" | "b" | "d") => arms[name]?.timeToFirstToken.p99Ms ?? Number.NaN;
    const batchTokens = arms.d?.totals.batchDecodeTokens ?? 0;
    assert.equal(arms.a?.totals.batchDecodeTokens, 0);
    assert.ok(p99MsOf("d") < 1.25 * p99MsOf("a"), `${p99MsOf("d")} compared with ${p99MsOf("a")}`);
    assert.ok(p99MsOf("b") > 2 * p99MsOf("d"), `${p99MsOf("b")} compared with ${p99MsOf("d")}`);
    assert.ok(batchTokens > 0.7 * boundTokens && batchTokens <= boundTokens, `${batchTokens} of ${boundTokens}`);
    assert.equal(arms.d?.failedCalls, 0);
});

test("another text seed gives the same arrivals and lengths with different words", () => {
    const workloadOf = (textSeed: number) =>
        createWorkload({ ...workloadRates, seed: 1, textSeed, durationMs: DURATION_MS, model: "m" });
    const shapeOf = (textSeed: number) =>
        workloadOf(textSeed).map(({ atMs, outputTokens, request }) => [
            atMs,
            outputTokens,
            JSON.stringify(request).length,
        ]);
    assert.deepEqual(shapeOf(1), shapeOf(2));
    assert.notDeepEqual(workloadOf(1), workloadOf(2));
});
