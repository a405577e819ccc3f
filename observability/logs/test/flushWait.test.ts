import assert from "node:assert/strict";
import { test } from "node:test";
import { FlushWait } from "../src/flushWait.js";

const PROGRESS_INTERVAL_MS = 150;
/** Time after which a process has ended, whatever its reader does. */
const MAX_END_MS = 5000;

// The wait was one fixed time for the whole output, so that a reader that was merely slow lost the last lines.
test("the wait for a reader begins anew with each progress, up to a limit", () => {
    const wait = new FlushWait(0);
    let nowMs = 0;
    for (let round = 0; round < 10; round += 1) {
        nowMs += PROGRESS_INTERVAL_MS;
        assert.ok(wait.remainingMs(nowMs) > 0);
        wait.onProgress(nowMs);
    }
    while (nowMs < MAX_END_MS) {
        nowMs += PROGRESS_INTERVAL_MS;
        wait.onProgress(nowMs);
    }
    assert.equal(wait.remainingMs(MAX_END_MS), 0);
});

test("a reader that accepts nothing is given up", () => {
    const wait = new FlushWait(0);
    assert.ok(wait.remainingMs(0) > 0);
    assert.equal(wait.remainingMs(2000), 0);
});
