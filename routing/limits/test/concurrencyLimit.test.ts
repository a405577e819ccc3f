import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { canMeetDeadline } from "../src/canMeetDeadline.js";
import type { ConcurrencyLimit } from "../src/concurrencyLimit.js";
import { FixedConcurrencyLimit } from "../src/fixedConcurrencyLimit.js";
import { GradientConcurrencyLimit } from "../src/gradientConcurrencyLimit.js";

const SERVICE_MS = 10;

/**
 * Simulates a service that handles `workers` calls at once and is called as often as the limit allows.
 *
 * @returns the mean number of concurrent calls
 */
function saturate(limit: ConcurrencyLimit, workers: number, calls: number): number {
    const random = new SeededRandom(1);
    let inFlight = 0;
    let sum = 0;
    for (let call = 0; call < calls; call += 1) {
        while (limit.tryAcquire()) {
            inFlight += 1;
        }
        sum += inFlight;
        const durationMs = SERVICE_MS * Math.max(1, inFlight / workers) * (0.9 + 0.2 * random.next());
        inFlight -= 1;
        limit.release({ durationMs, kind: "success" });
    }
    return sum / calls;
}

test("the limit approaches the concurrency of a service, small or large, and follows a change", () => {
    [5, 50].forEach(workers => {
        const limit = new GradientConcurrencyLimit();
        saturate(limit, workers, 4000);
        const inFlight = saturate(limit, workers, 4000);
        assert.ok(inFlight >= workers, `${inFlight} in flight of ${workers}`);
        assert.ok(inFlight <= workers * 3, `${inFlight} in flight of ${workers}`);
    });
    const limit = new GradientConcurrencyLimit();
    saturate(limit, 50, 6000);
    assert.ok(saturate(limit, 10, 12_000) < 50);
});

test("dropped calls reduce the limit immediately, down to its minimum", () => {
    const limit = new GradientConcurrencyLimit({ initialLimit: 100, minLimit: 2 });
    Array.from({ length: 50 }, () => {
        limit.tryAcquire();
        limit.release({ durationMs: 1000, kind: "dropped" });
    });
    assert.equal(limit.limit, 2);
});

test("no limit allows more concurrent calls than its value", () => {
    [new FixedConcurrencyLimit(7), new GradientConcurrencyLimit({ initialLimit: 7 })].forEach(limit => {
        assert.equal(Array.from({ length: 20 }, () => limit.tryAcquire()).filter(Boolean).length, 7);
        limit.release({ durationMs: 1, kind: "ignored" });
        assert.ok(limit.tryAcquire());
        assert.ok(!limit.tryAcquire());
    });
});

test("a request is rejected early only if its deadline can't be met", () => {
    const estimate = { queuedCost: 20, costPerSecond: 10, serviceMs: 500, nowMs: 1000 };
    assert.ok(canMeetDeadline({ ...estimate, deadlineMs: 3500 }));
    assert.ok(!canMeetDeadline({ ...estimate, deadlineMs: 3499 }));
    assert.ok(canMeetDeadline({ ...estimate, deadlineMs: undefined }));
    assert.ok(canMeetDeadline({ ...estimate, costPerSecond: undefined, deadlineMs: 1500 }));
});
