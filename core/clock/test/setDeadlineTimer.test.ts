import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../src/manualClock.js";
import { setDeadlineTimer } from "../src/setDeadlineTimer.js";

/** A clock whose timers run late, as those of a process without enough processor time. */
class LateClock extends ManualClock {
    lateMs = 0;

    override setTimer(delayMs: number, action: () => void) {
        return super.setTimer(delayMs + this.lateMs, action);
    }
}

async function runTimer(opts: { lateMs: number; cancelAtMs?: number; }): Promise<number[]> {
    const clock = new LateClock();
    clock.lateMs = opts.lateMs;
    const actedAtMs: number[] = [];
    const timer = setDeadlineTimer(clock, 200, () => actedAtMs.push(clock.nowMs()));
    clock.lateMs = 0;
    await clock.advance(opts.cancelAtMs ?? 2000);
    timer.cancel();
    await clock.advance(2000);
    return actedAtMs;
}

// Processes that had just started on small instances gave up their first calls after 200 ms, while the responses lay
// unread in their sockets, and were of no use for half a second more.
test("a timer that runs late waits once more, by its lateness but no longer than its delay, before it acts", async () => {
    assert.deepEqual(await runTimer({ lateMs: 90 }), [380]);
    assert.deepEqual(await runTimer({ lateMs: 700 }), [1100]);
});

test("a timer in time acts at once, and a cancelled one never", async () => {
    assert.deepEqual(await runTimer({ lateMs: 10 }), [210]);
    assert.deepEqual(await runTimer({ lateMs: 0, cancelAtMs: 100 }), []);
    assert.deepEqual(await runTimer({ lateMs: 90, cancelAtMs: 300 }), []);
});
