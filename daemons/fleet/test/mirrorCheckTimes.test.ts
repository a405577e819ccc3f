// All processes mirror the same keys. If each asked the key-value service by itself, the calls would grow with the fleet.
import assert from "node:assert/strict";
import { test } from "node:test";
import { MirrorCheckTimes } from "../src/mirrorCheckTimes.js";

const DRAIN_BOUND_MS = 2000;

function timesOf(placingRank: number) {
    return new MirrorCheckTimes({ peers: () => ({ placesLoad: Number.isFinite(placingRank), placingRank }) });
}

test("processes take turns, and even the last one checks within the bound", () => {
    const delays = [0, 1, 7, 8, 2000].map(rank => timesOf(rank).delayMs());
    assert.deepEqual(delays, [...delays].sort((left, right) => left - right));
    assert.equal(new Set(delays.slice(0, 4)).size, 4);
    const last = timesOf(2000);
    assert.ok(last.maxAgeMs(DRAIN_BOUND_MS) + last.delayMs() <= 0.75 * DRAIN_BOUND_MS);
});

test("a process that places nothing checks less often, and a bound of 0 causes no check at every moment", () => {
    const placing = timesOf(0);
    const standby = timesOf(Infinity);
    assert.ok(standby.maxAgeMs(DRAIN_BOUND_MS) > placing.maxAgeMs(DRAIN_BOUND_MS));
    assert.ok(Number.isFinite(standby.delayMs()));
    assert.ok(placing.maxAgeMs(0) >= 500);
});
