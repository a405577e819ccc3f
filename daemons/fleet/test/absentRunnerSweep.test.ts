import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AbsentRunnerSweep } from "../src/absentRunnerSweep.js";
import type { RunnerRecord } from "../src/runnerRecord.js";

const RETENTION_MS = 120_000;

/** Sweeps the record of an absent runner. The state can be changed while the clock runs. */
function start() {
    const clock = new ManualClock();
    const controller = new AbortController();
    const runner = { member: { instanceName: "absent" }, modRevision: 1 } as RunnerRecord;
    const state = { isLeading: true, knowsAllJobs: true, absent: [runner], removals: 0 };
    const sweep = new AbsentRunnerSweep({
        clock,
        logger: silentLogger,
        isLeading: () => state.isLeading,
        knowsAllJobs: () => state.knowsAllJobs,
        resultRetentionMs: () => RETENTION_MS,
        absentRunners: () => state.absent,
        remove: () => {
            state.removals += 1;
            state.absent = [];
            return Promise.resolve();
        },
    });
    void sweep.run(controller.signal);
    return { clock, runner, state, stop: () => controller.abort() };
}

// Machines are replaced one after another. Without their removal, each would count as missing until more are than may be
// lost, and no leader would know all jobs.
test("the record of a runner that is gone is removed once the leader has known all jobs for a while", async () => {
    const { clock, state, stop } = start();
    await clock.advance(3000);
    assert.equal(state.removals, 0);
    await clock.advance(5000);
    assert.equal(state.removals, 1);
    stop();
});

// The held jobs of the missing runner may exist nowhere else.
test("a leader that doesn't know all jobs keeps the record until the retention time of the jobs is over", async () => {
    const { clock, state, stop } = start();
    state.knowsAllJobs = false;
    await clock.advance(RETENTION_MS);
    assert.equal(state.removals, 0);
    await clock.advance(10_000);
    assert.equal(state.removals, 1);
    stop();
});

test("a runner that was back meanwhile, or a process that doesn't lead, removes no record", async () => {
    const { clock, runner, state, stop } = start();
    await clock.advance(3000);
    state.absent = [];
    await clock.advance(2000);
    state.absent = [runner];
    await clock.advance(3000);
    assert.equal(state.removals, 0);
    state.isLeading = false;
    await clock.advance(2 * RETENTION_MS);
    assert.equal(state.removals, 0);
    stop();
});
