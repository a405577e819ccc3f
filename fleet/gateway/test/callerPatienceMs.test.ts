import assert from "node:assert/strict";
import { test } from "node:test";
import { callerPatienceMs } from "../src/callerPatienceMs.js";

// Waiting requests were dropped after 1,950 ms on routes whose callers wait for 4 s.
test("a caller of a stream waits for the longest of 2 s, four objectives and eight event gaps", () => {
    const route = { kind: "stream" as const, timeoutMs: 5000, objectiveMs: 300 };
    assert.equal(callerPatienceMs({ ...route, maxEventGapMs: 250 }), 2000);
    assert.equal(callerPatienceMs({ ...route, maxEventGapMs: 500 }), 4000);
    assert.equal(callerPatienceMs({ ...route, objectiveMs: 700, maxEventGapMs: undefined }), 2800);
});

test("no caller waits longer than the route's timeout, and callers of other kinds wait for it", () => {
    const route = { timeoutMs: 3000, objectiveMs: 386, maxEventGapMs: 500 };
    assert.equal(callerPatienceMs({ ...route, kind: "stream" }), 3000);
    assert.equal(callerPatienceMs({ ...route, kind: "idempotent" }), 3000);
});
