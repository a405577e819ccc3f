// A service that was too slow to answer got more calls from checks that failed and were repeated at once.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CheckSchedule } from "../src/checkSchedule.js";

test("a check that fails is repeated less and less often, until one succeeds", async () => {
    const clock = new ManualClock();
    const checkedAtMs: number[] = [];
    let hasSucceeded = false;
    let verifiedAtMs = 0;
    const schedule = new CheckSchedule({
        clock,
        maxAgeMs: () => 1000,
        delayMs: () => 0,
        ageMs: () => clock.nowMs() - verifiedAtMs,
        check: () => {
            checkedAtMs.push(clock.nowMs());
            verifiedAtMs = hasSucceeded ? clock.nowMs() : verifiedAtMs;
            return Promise.resolve(hasSucceeded);
        },
    });
    schedule.start();
    await clock.advance(30_000);
    const gapsMs = checkedAtMs.slice(1).map((atMs, index) => atMs - checkedAtMs[index]!);
    assert.deepEqual(gapsMs.slice(0, 7), [300, 600, 1200, 2400, 4800, 4800, 4800]);
    hasSucceeded = true;
    await clock.advance(5000);
    checkedAtMs.length = 0;
    await clock.advance(10_000);
    assert.equal(checkedAtMs.length, 10, "a check a second");
    schedule.stop();
    await clock.advance(5000);
    assert.equal(checkedAtMs.length, 10);
});
