import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { burstArrivals } from "../src/burstArrivals.js";
import { poissonArrivals } from "../src/poissonArrivals.js";
import { runOpenLoop } from "../src/runOpenLoop.js";

test("Poisson arrivals are ascending, match the requested rate, and are the same for the same seed", () => {
    const arrive = () => poissonArrivals({ ratePerS: 100, durationMs: 100_000, random: new SeededRandom(1) });
    const arrivals = arrive();
    assert.deepEqual(arrivals, arrive());
    assert.deepEqual(arrivals, [...arrivals].sort((left, right) => left - right));
    assert.ok(Math.abs(arrivals.length - 10_000) < 400, `${arrivals.length} arrivals`);
});

test("bursts have the mean rate of their on and off periods and vary more than Poisson arrivals", () => {
    const opts = { onRatePerS: 180, offRatePerS: 20, meanOnMs: 500, meanOffMs: 500, durationMs: 400_000 };
    const arrivals = burstArrivals({ ...opts, random: new SeededRandom(2) });
    assert.ok(Math.abs(arrivals.length - 40_000) < 4000, `${arrivals.length} arrivals`);
    const perSecond = new Map<number, number>();
    arrivals.forEach(atMs => {
        const second = Math.floor(atMs / 1000);
        perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
    });
    const counts = [...perSecond.values()];
    const mean = counts.reduce((total, count) => total + count, 0) / counts.length;
    const variance = counts.reduce((total, count) => total + (count - mean) ** 2, 0) / counts.length;
    assert.ok(variance > 5 * mean, "bursts should vary more than Poisson arrivals");
});

test("an open loop starts calls at their arrival times while earlier calls are in progress", async () => {
    const clock = new ManualClock();
    const started: number[] = [];
    const dues: number[] = [];
    const loop = runOpenLoop({
        clock,
        arrivals: [10, 20, 30],
        call: async (_index, dueMs) => {
            started.push(clock.nowMs());
            dues.push(dueMs);
            await new Promise<void>(resolve => clock.setTimer(1000, resolve));
        },
    });
    await clock.advance(2000);
    await loop;
    assert.deepEqual(started, [10, 20, 30]);
    assert.deepEqual(dues, [10, 20, 30]);
});
