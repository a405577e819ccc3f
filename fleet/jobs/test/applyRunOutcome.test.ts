import assert from "node:assert/strict";
import { test } from "node:test";
import { applyRunOutcome } from "../src/applyRunOutcome.js";
import { OpenJob } from "../src/openJob.js";
import { createJobRecord } from "./createJobRecord.js";

const opts = { nowMs: 1000, maxAttempts: 3 };

function createItemWithProgress() {
    const item = new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items[0]!;
    Object.assign(item, { events: ["a"], lastEventId: 1 });
    return item;
}

test("an item fails permanently after the allowed number of failures, or at once if it can't be processed", () => {
    const item = createItemWithProgress();
    const outcomes = [1, 2, 3].map(() => applyRunOutcome(item, { kind: "failed" }, opts));
    assert.deepEqual(outcomes, ["retry", "retry", "given-up"]);
    assert.equal(applyRunOutcome(createItemWithProgress(), { kind: "impossible" }, opts), "given-up");
});

test("a broken run is not a failure of the item and keeps the events received", () => {
    const item = createItemWithProgress();
    const broken = { kind: "broken", code: "ECONNRESET", isUnreachable: false, isConnectionBroken: true } as const;
    Array.from({ length: 10 }).forEach(() => assert.equal(applyRunOutcome(item, broken, opts), "retry"));
    assert.deepEqual([item.failedAttempts, item.lastEventId], [0, 1]);
});

test("an item whose events can't be trusted starts over", () => {
    const item = createItemWithProgress();
    applyRunOutcome(item, { kind: "garbled", code: "EVENT_OUT_OF_ORDER" }, opts);
    assert.deepEqual([item.events, item.lastEventId], [[], 0]);
});

// A job whose items demanded a version that no upstream has was sent to upstreams thousands of times a second.
test("an item that is rejected again and again waits longer each time, until it runs once", () => {
    const item = createItemWithProgress();
    const delayAfter = (outcome: Parameters<typeof applyRunOutcome>[1]) => {
        applyRunOutcome(item, outcome, opts);
        return item.notBeforeMs - opts.nowMs;
    };
    const rejected = { kind: "not-run", isMisdirected: false } as const;
    assert.deepEqual(Array.from({ length: 8 }, () => delayAfter(rejected)), [50, 100, 200, 400, 800, 1600, 1600, 1600]);
    assert.equal(delayAfter({ kind: "not-run", isMisdirected: true }), 50, "another upstream may run it");
    delayAfter({ kind: "failed" });
    assert.equal(delayAfter(rejected), 50);
});

// Each upstream answered an item with status 200 and text that is no stream of events. The item ran again every 300 ms
// until its retention time ended.
test("an item that gets no usable output again and again waits longer each time", () => {
    const item = createItemWithProgress();
    const delayAfter = (code: string) => {
        applyRunOutcome(item, { kind: "garbled", code }, opts);
        return item.notBeforeMs - opts.nowMs;
    };
    const delays = Array.from({ length: 7 }, () => delayAfter("ANSWER_WITHOUT_EVENTS"));
    assert.deepEqual(delays, [300, 600, 1200, 2400, 4800, 4800, 4800]);
    assert.equal(delayAfter("EVENT_OUT_OF_ORDER"), 300, "which only an upstream can cause");
});
