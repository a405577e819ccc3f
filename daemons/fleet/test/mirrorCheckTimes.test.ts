// All processes mirror the same keys. If each asked the key-value service by itself, the calls would grow with the fleet.
import assert from "node:assert/strict";
import { test } from "node:test";
import { MirrorCheckTimes } from "../src/mirrorCheckTimes.js";

const DRAIN_BOUND_MS = 2000;

function timesOf(placingRank: number) {
    return new MirrorCheckTimes({ peers: () => ({ placesLoad: Number.isFinite(placingRank), placingRank }) });
}

test("processes take turns, and the first 40 check within the bound even if they hear nobody", () => {
    const delays = Array.from({ length: 40 }, (_, rank) => timesOf(rank).delayMs());
    assert.deepEqual(delays, [...delays].sort((left, right) => left - right));
    assert.equal(new Set(delays).size, delays.length);
    const last = timesOf(39);
    assert.ok(last.maxAgeMs(DRAIN_BOUND_MS) + last.delayMs() <= 0.8 * DRAIN_BOUND_MS);
});

// The service takes about 2,000 reads a second, and each process has three mirrors.
test("a fleet whose processes don't hear each other makes a bounded number of calls", () => {
    const processes = 2200;
    const periods = Array.from({ length: processes }, (_, rank) => {
        const times = timesOf(rank);
        return times.maxAgeMs(DRAIN_BOUND_MS) + times.delayMs();
    });
    const callsPerSecond = 3 * periods.reduce((sum, periodMs) => sum + 1000 / periodMs, 0);
    assert.ok(callsPerSecond < 2000, `${callsPerSecond} calls a second`);
});

test("a process that places nothing checks less often, and a bound of 0 causes no check at every moment", () => {
    const placing = timesOf(0);
    const standby = timesOf(Infinity);
    assert.ok(standby.maxAgeMs(DRAIN_BOUND_MS) > placing.maxAgeMs(DRAIN_BOUND_MS));
    assert.ok(Number.isFinite(standby.delayMs()));
    assert.ok(placing.maxAgeMs(0) >= 500);
});
