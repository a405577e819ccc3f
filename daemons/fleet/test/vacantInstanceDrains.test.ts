import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { VacantInstanceDrains } from "../src/vacantInstanceDrains.js";

/** Starts a runner on whose fleet the operators want two instances drained. Its first report fails. */
function start(opts: {
    isLeading: () => boolean;
    hasProcess: (instance: string, nowMs: number) => boolean;
    mayHoldJobs?: () => boolean;
}) {
    const clock = new ManualClock();
    const controller = new AbortController();
    const reports: string[] = [];
    let failures = 1;
    const drains = new VacantInstanceDrains({
        clock,
        logger: silentLogger,
        isLeading: opts.isLeading,
        requested: () => ["vacant", "running"] as InstanceName[],
        hasProcess: instance => opts.hasProcess(instance, clock.nowMs()),
        mayHoldJobs: () => opts.mayHoldJobs?.() ?? false,
        report: async instance => {
            failures -= 1;
            assert.ok(failures < 0, "The service is unavailable");
            reports.push(instance);
        },
    });
    void drains.run(controller.signal);
    return { clock, reports, stop: () => controller.abort() };
}

// Half of the storage instances have no runner that could report them as drained.
test("the leader reports an instance without a process as drained, once, and no other instance", async () => {
    let isLeading = false;
    const { clock, reports, stop } = start({
        isLeading: () => isLeading,
        hasProcess: instance => instance === "running",
    });
    await clock.advance(5000);
    assert.deepEqual(reports, [], "only the leader reports");
    isLeading = true;
    await clock.advance(5000);
    assert.deepEqual(reports, ["vacant"]);
    stop();
});

test("an instance whose process has just not been seen yet is not reported", async () => {
    const { clock, reports, stop } = start({ isLeading: () => true, hasProcess: (_, nowMs) => nowMs > 1600 });
    await clock.advance(6000);
    assert.deepEqual(reports, []);
    stop();
});

// The disk of a runner that is down may contain the only copy of a job, and a drained instance loses its disk.
test("an instance without a process is not reported while its disk may contain held jobs", async () => {
    let mayHoldJobs = true;
    const { clock, reports, stop } = start({
        isLeading: () => true,
        hasProcess: instance => instance === "running",
        mayHoldJobs: () => mayHoldJobs,
    });
    await clock.advance(6000);
    assert.deepEqual(reports, []);
    mayHoldJobs = false;
    await clock.advance(6000);
    assert.deepEqual(reports, ["vacant"]);
    stop();
});
