import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../src/manualClock.js";
import { sleep } from "../src/sleep.js";

test("a manual clock fires timers in order of their due time", async () => {
    const clock = new ManualClock();
    const fired: number[] = [];
    clock.setTimer(20, () => fired.push(clock.nowMs()));
    clock.setTimer(10, () => fired.push(clock.nowMs()));
    clock.setTimer(15, () => fired.push(-1)).cancel();
    await clock.advance(30);
    assert.deepEqual(fired, [10, 20]);
    assert.equal(clock.nowMs(), 30);
});

test("a sleep ends early when its signal is aborted", async () => {
    const clock = new ManualClock();
    const controller = new AbortController();
    const slept = sleep(clock, 1000, controller.signal);
    controller.abort();
    await slept;
    assert.equal(clock.nowMs(), 0);
});
