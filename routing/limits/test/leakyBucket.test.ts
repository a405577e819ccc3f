import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LeakyBucket } from "../src/leakyBucket.js";

const SEED = 20_261_203;

test("no window exceeds the burst and the rate, and nothing that fits is rejected", () => {
    const inputs = fc.record({
        ratePerSecond: fc.integer({ min: 1, max: 50 }),
        burst: fc.integer({ min: 1, max: 20 }),
        steps: fc.array(fc.record({ pauseMs: fc.nat(300), cost: fc.integer({ min: 1, max: 5 }) }), { maxLength: 80 }),
    });
    fc.assert(
        fc.property(inputs, ({ ratePerSecond, burst, steps }) => {
            const bucket = new LeakyBucket();
            const limit = { ratePerSecond, burst };
            const taken: { atMs: number; cost: number; }[] = [];
            let nowMs = 0;
            let capacity = burst;
            steps.forEach(({ pauseMs, cost }) => {
                const needed = Math.min(cost, burst);
                nowMs += pauseMs;
                capacity = Math.min(burst, capacity + pauseMs * ratePerSecond / 1000);
                const isAllowed = bucket.waitMs(limit, cost, nowMs) < 1e-6;
                if (Math.abs(capacity - needed) > 1e-6) {
                    assert.equal(isAllowed, capacity > needed);
                }
                if (isAllowed) {
                    bucket.take(limit, cost, nowMs);
                    capacity -= cost;
                    taken.push({ atMs: nowMs, cost });
                }
            });
            taken.forEach((first, index) => {
                const window = taken.slice(index);
                const sum = window.reduce((total, take) => total + take.cost, 0);
                const seconds = (window.at(-1)!.atMs - first.atMs) / 1000;
                assert.ok(sum <= burst + ratePerSecond * seconds + 5);
            });
        }),
        { seed: SEED, numRuns: 500 },
    );
});

test("the wait time given by a rejection is the time needed", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 100 }), fc.integer({ min: 1, max: 20 }), (ratePerSecond, takes) => {
            const bucket = new LeakyBucket();
            const limit = { ratePerSecond, burst: 2 };
            Array.from({ length: takes }, () => bucket.take(limit, 1, 0));
            const waitMs = bucket.waitMs(limit, 1, 0);
            assert.ok(bucket.waitMs(limit, 1, waitMs) < 1e-6);
            assert.ok(waitMs === 0 || bucket.waitMs(limit, 1, waitMs * 0.9) > 0);
        }),
        { seed: SEED },
    );
});
