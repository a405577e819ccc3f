import assert from "node:assert/strict";
import { test } from "node:test";
import { isCheckpointDue } from "../src/isCheckpointDue.js";

/** Simulates a job with a steady rate of results. @returns the number of checkpoints */
function countCheckpoints(opts: { totalCount: number; durationMs: number; stepMs: number; }): number {
    let count = 0;
    let committed = 0;
    let oldestAtMs: number | undefined;
    for (let nowMs = 0; nowMs <= opts.durationMs; nowMs += opts.stepMs) {
        const done = Math.floor(opts.totalCount * nowMs / opts.durationMs);
        const uncommittedCount = done - committed;
        oldestAtMs = uncommittedCount > 0 ? oldestAtMs ?? nowMs : undefined;
        if (isCheckpointDue({ nowMs, startedAtMs: 0, totalCount: opts.totalCount, uncommittedCount, oldestAtMs })) {
            count += 1;
            committed = done;
            oldestAtMs = undefined;
        }
    }
    return count;
}

test("the number of checkpoints does not grow with the number of items", () => {
    const durationMs = 3_600_000;
    const counts = [10_000, 100_000, 340_000].map(totalCount =>
        countCheckpoints({ totalCount, durationMs, stepMs: 200 })
    );
    counts.forEach(count => assert.ok(count <= 110, String(counts)));
    assert.ok(Math.max(...counts) - Math.min(...counts) <= 10, String(counts));
});

test("the number of checkpoints grows with the logarithm of the running time", () => {
    const hour = countCheckpoints({ totalCount: 100_000, durationMs: 3_600_000, stepMs: 500 });
    const day = countCheckpoints({ totalCount: 100_000, durationMs: 86_400_000, stepMs: 2000 });
    assert.ok(day - hour <= 60, `${hour} ${day}`);
});
