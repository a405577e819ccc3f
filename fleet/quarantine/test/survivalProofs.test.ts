// A restarted upstream responded, and the process before it, which had crashed, was taken for alive.
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SurvivalProofs } from "../src/survivalProofs.js";

const upstream = { id: "u", startedAtMs: 1 } as Upstream;
const process = "u 1";
const RESPONDED_AT_MS = 1000;
/** The entry of a process that ended without a word expires within this time, in milliseconds. */
const EXPIRY_MS = 3600;
const LATE_MS = 5000;

function proofsOf(run: { upstream: Upstream; sequence: number; }): SurvivalProofs {
    const proofs = new SurvivalProofs();
    proofs.add(run.upstream, run.sequence, RESPONDED_AT_MS);
    return proofs;
}

test("an upstream process is certain to live once it has been listed some time after its response", () => {
    const proofs = proofsOf({ upstream, sequence: 7 });
    const tooEarlyMs = RESPONDED_AT_MS + EXPIRY_MS;
    assert.deepEqual(proofs.takeCertain(() => tooEarlyMs, tooEarlyMs), []);
    const nowMs = RESPONDED_AT_MS + LATE_MS;
    assert.deepEqual(proofs.takeCertain(() => nowMs, nowMs), [{ process, sequence: 7 }]);
    assert.deepEqual(proofs.takeCertain(() => nowMs, nowMs), [], "each proof is taken once");
});

test("nothing is certain of a process that is listed no longer, whose list is old, or that tells no time of start", () => {
    const nowMs = RESPONDED_AT_MS + LATE_MS;
    assert.deepEqual(proofsOf({ upstream, sequence: 7 }).takeCertain(() => -Infinity, nowMs), []);
    assert.deepEqual(proofsOf({ upstream, sequence: 7 }).takeCertain(() => RESPONDED_AT_MS, nowMs), []);
    const unnamed = { ...upstream, startedAtMs: 0 };
    assert.deepEqual(proofsOf({ upstream: unnamed, sequence: 7 }).takeCertain(() => nowMs, nowMs), []);
});
