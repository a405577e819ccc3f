import assert from "node:assert/strict";
import { test } from "node:test";
import { FlushWait } from "../src/flushWait.js";

const PROGRESS_INTERVAL_MS = 150;

// The wait was one fixed time for the whole output, so that a reader that was merely slow lost the last lines.
test("the wait for a reader begins anew with each progress, up to a limit", () => {
    const wait = new FlushWait(0);
    let nowMs = 0;
    for (let round = 0; round < 10; round += 1) {
        nowMs += PROGRESS_INTERVAL_MS;
        assert.ok(wait.remainingMs(nowMs) > 0);
        wait.onProgress(nowMs);
    }
    for (let round = 0; round < 10; round += 1) {
        nowMs += PROGRESS_INTERVAL_MS;
        wait.onProgress(nowMs);
    }
    assert.equal(wait.remainingMs(nowMs), 0);
});

test("a reader that accepts nothing is given up", () => {
    const wait = new FlushWait(0);
    assert.ok(wait.remainingMs(0) > 0);
    assert.equal(wait.remainingMs(2000), 0);
});
