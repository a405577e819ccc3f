import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StepCostModel } from "../src/stepCostModel.js";
import type { StepCosts } from "../src/stepCosts.js";
import { stepDurationMs } from "../src/stepDurationMs.js";

const INITIAL: StepCosts = { fixedMs: 10, perSequenceMs: 1, perPrefillTokenMs: 0.1 };
const NOISE_MS = 2;

function observeSteps(
    model: StepCostModel,
    trueCosts: StepCosts,
    opts: { random: SeededRandom; steps: number; },
): void {
    Array.from({ length: opts.steps }).forEach(() => {
        const load = { sequences: 1 + opts.random.nextInteger(60), prefillTokens: opts.random.nextInteger(400) };
        const noiseMs = NOISE_MS * opts.random.next();
        model.observe({ ...load, durationMs: stepDurationMs(trueCosts, load) + noiseMs });
    });
}

function assertPredicts(model: StepCostModel, trueCosts: StepCosts): void {
    [{ sequences: 4, prefillTokens: 0 }, { sequences: 50, prefillTokens: 300 }].forEach(load => {
        const expectedMs = stepDurationMs(trueCosts, load);
        const predictedMs = stepDurationMs(model.costs, load);
        assert.ok(Math.abs(predictedMs - expectedMs) < 0.1 * expectedMs, `${predictedMs} for ${expectedMs}`);
    });
}

test("costs are estimated from noisy steps and follow a drift", () => {
    const model = new StepCostModel({ initial: INITIAL });
    const random = new SeededRandom(1);
    const trueCosts = { fixedMs: 22, perSequenceMs: 0.25, perPrefillTokenMs: 0.04 };
    observeSteps(model, trueCosts, { random, steps: 300 });
    assertPredicts(model, trueCosts);
    const drifted = { fixedMs: 35, perSequenceMs: 0.5, perPrefillTokenMs: 0.04 };
    observeSteps(model, drifted, { random, steps: 1500 });
    assertPredicts(model, drifted);
});

test("a pause is ignored as an outlier, unless the steps stay slow", () => {
    const model = new StepCostModel({ initial: INITIAL });
    const trueCosts = { fixedMs: 22, perSequenceMs: 0.25, perPrefillTokenMs: 0.04 };
    observeSteps(model, trueCosts, { random: new SeededRandom(2), steps: 300 });
    model.observe({ durationMs: 5000, sequences: 10, prefillTokens: 0 });
    assertPredicts(model, trueCosts);
    const slower = { fixedMs: 120, perSequenceMs: 1, perPrefillTokenMs: 0.2 };
    observeSteps(model, slower, { random: new SeededRandom(3), steps: 3000 });
    assertPredicts(model, slower);
});
