import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { VacantInstanceDrains } from "../src/vacantInstanceDrains.js";

// Half of the storage instances have no runner that could report them as drained.
test("the leader reports an instance without a process as drained, once, and no other instance", async () => {
    const clock = new ManualClock();
    const controller = new AbortController();
    const reports: string[] = [];
    let isLeading = false;
    let failures = 1;
    const drains = new VacantInstanceDrains({
        clock,
        logger: silentLogger,
        isLeading: () => isLeading,
        requested: () => ["vacant", "running"] as InstanceName[],
        hasProcess: instance => instance === "running",
        report: instance => {
            if (failures > 0) {
                failures -= 1;
                return Promise.reject(new Error("The service is unavailable"));
            }
            reports.push(instance);
            return Promise.resolve();
        },
    });
    void drains.run(controller.signal);
    await clock.advance(5000);
    assert.deepEqual(reports, [], "only the leader reports");
    isLeading = true;
    await clock.advance(5000);
    assert.deepEqual(reports, ["vacant"]);
    controller.abort();
});

test("an instance whose process has just not been seen yet is not reported", async () => {
    const clock = new ManualClock();
    const controller = new AbortController();
    const reports: string[] = [];
    const drains = new VacantInstanceDrains({
        clock,
        logger: silentLogger,
        isLeading: () => true,
        requested: () => ["late"] as InstanceName[],
        hasProcess: () => clock.nowMs() > 1600,
        report: instance => {
            reports.push(instance);
            return Promise.resolve();
        },
    });
    void drains.run(controller.signal);
    await clock.advance(6000);
    assert.deepEqual(reports, []);
    controller.abort();
});
