// Repeated prompts were spread over all upstreams, and each read them again.
import assert from "node:assert/strict";
import { test } from "node:test";
import { simulatePrompts } from "./simulatePrompts.js";

const DURATION_MS = 12_000;
const USUAL_CALLS_PER_MS = 0.35;

const SEEDS = [11, 12, 13, 14, 15, 16];

/** Simulates the same calls with and without the term, and returns the means over the seeds. */
function simulateBoth(callsPerMs: (nowMs: number) => number) {
    const [withTerm, without] = [true, false].map(usesTerm => {
        const results = SEEDS.map(seed => simulatePrompts({ usesTerm, seed, durationMs: DURATION_MS, callsPerMs }));
        const meanOf = (field: keyof typeof results[number]) =>
            results.reduce((sum, result) => sum + result[field], 0) / results.length;
        return {
            readShare: meanOf("readShare"),
            meanFirstEventMs: meanOf("meanFirstEventMs"),
            p99FirstEventMs: meanOf("p99FirstEventMs"),
            meanWaitMs: meanOf("meanWaitMs"),
            p99WaitMs: meanOf("p99WaitMs"),
            overfull: meanOf("overfull"),
        };
    });
    return { withTerm: withTerm!, without: without! };
}

test("fewer tokens are read again and first events come earlier with the term", context => {
    const { withTerm, without } = simulateBoth(() => USUAL_CALLS_PER_MS);
    context.diagnostic(JSON.stringify({ withTerm, without }));
    assert.ok(withTerm.readShare < without.readShare * 0.93);
    assert.ok(withTerm.meanFirstEventMs < without.meanFirstEventMs * 0.95);
    assert.ok(withTerm.p99FirstEventMs <= without.p99FirstEventMs);
});

test("while all upstreams are full, requests wait no longer with the term", context => {
    const { withTerm, without } = simulateBoth(nowMs => USUAL_CALLS_PER_MS * (nowMs % 4000 < 1000 ? 3 : 1));
    context.diagnostic(JSON.stringify({ withTerm, without }));
    assert.ok(without.p99WaitMs > 0, "the burst fills all upstreams");
    assert.ok(withTerm.meanWaitMs <= without.meanWaitMs);
    assert.ok(withTerm.p99WaitMs <= without.p99WaitMs);
});
