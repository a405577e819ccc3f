import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../src/clock.js";
import { setDeadlineTimer } from "../src/setDeadlineTimer.js";

/** A clock whose timers run only when the test says so. */
class LateClock implements Clock {
    currentMs = 0;
    timers: { delayMs: number; action: () => void; }[] = [];

    nowMs(): number {
        return this.currentMs;
    }

    setTimer(delayMs: number, action: () => void) {
        const timer = { delayMs, action };
        this.timers.push(timer);
        return { cancel: () => void (this.timers = this.timers.filter(other => other !== timer)) };
    }

    runAt(atMs: number): void {
        this.currentMs = atMs;
        this.timers.splice(0).forEach(timer => timer.action());
    }
}

// Processes that had just started on small instances gave up their first calls after 200 ms, while the responses lay
// unread in their sockets, and were of no use for half a second more.
test("a timer that runs late waits once more, by its lateness, before it acts", () => {
    const clock = new LateClock();
    let actions = 0;
    setDeadlineTimer(clock, 200, () => {
        actions += 1;
    });
    clock.runAt(290);
    assert.deepEqual([actions, clock.timers.map(timer => timer.delayMs)], [0, [90]]);
    clock.runAt(600);
    assert.equal(actions, 1);
});

test("a timer in time acts at once, and a cancelled one never", () => {
    const clock = new LateClock();
    let actions = 0;
    const act = () => {
        actions += 1;
    };
    setDeadlineTimer(clock, 200, act);
    clock.runAt(210);
    assert.equal(actions, 1);
    const cancelled = setDeadlineTimer(clock, 200, act);
    clock.runAt(900);
    cancelled.cancel();
    clock.runAt(1200);
    assert.equal(actions, 1);
});
