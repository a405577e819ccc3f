// The load pattern is an upstream without a queue: it rejects online requests until the batch run in its slot has ended.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DisplacementWaits } from "../src/displacementWaits.js";
import { LoadTracker } from "../src/loadTracker.js";
import { loadReportOf } from "./loadReportOf.js";

const upstream = { id: "u" as UpstreamId, slots: 1 } as Upstream;

function createWaits({ online } = { online: 1 }) {
    const clock = new ManualClock();
    const loadTracker = new LoadTracker();
    const waits = new DisplacementWaits({ clock, loadTracker });
    let sequence = 0;
    const report = (batch: number) => {
        sequence += 1;
        const counts = batch === 0 ? [] : [{ upstreamId: upstream.id, online: 0, batch }];
        loadTracker.apply(loadReportOf({ sequence, counts }), clock.nowMs());
        waits.dispatch();
    };
    Array.from({ length: online }, () => loadTracker.count(upstream.id, "online", 1));
    return { clock, loadTracker, waits, report };
}

test("a wait ends when the reports show a free slot, not before the upstream can have released it", async () => {
    const { clock, waits, report } = createWaits();
    report(1);
    const endedAtMs: number[] = [];
    const addedAtMs = clock.nowMs();
    waits.add({ upstream, untilMs: clock.nowMs() + 1000, onEnded: () => endedAtMs.push(clock.nowMs()) });
    report(0);
    assert.deepEqual(endedAtMs, []);
    await clock.advance(20);
    assert.deepEqual(endedAtMs, [addedAtMs + 10]);
    await clock.advance(2000);
    assert.equal(endedAtMs.length, 1);
});

// Each of two gateways took the request of the other for one that ran, and both waited until their callers' time was up.
test("requests of two gateways that wait for the same run don't wait for each other", async () => {
    const { clock, loadTracker, waits, report } = createWaits();
    const other = {
        instanceName: "gateway" as InstanceName,
        counts: [{ upstreamId: upstream.id, online: 1, batch: 0 }],
    };
    loadTracker.apply(loadReportOf(other), clock.nowMs());
    report(1);
    const endedAtMs: number[] = [];
    const addedAtMs = clock.nowMs();
    waits.add({ upstream, untilMs: clock.nowMs() + 1000, onEnded: () => endedAtMs.push(clock.nowMs()) });
    report(0);
    await clock.advance(20);
    assert.deepEqual(endedAtMs, [addedAtMs + 10]);
});

test("a wait ends without a slot at the time it was given, and never once it is cancelled", async () => {
    const { clock, waits, report } = createWaits();
    report(1);
    const endedAtMs: number[] = [];
    const addedAtMs = clock.nowMs();
    const onEnded = () => endedAtMs.push(clock.nowMs());
    waits.add({ upstream, untilMs: clock.nowMs() + 200, onEnded });
    waits.add({ upstream, untilMs: clock.nowMs() + 200, onEnded }).cancel();
    await clock.advance(500);
    assert.deepEqual(endedAtMs, [addedAtMs + 200]);
});

test("a rejection is due to batch runs while they take the slots, and for a moment after their end", async () => {
    const { clock, loadTracker, waits, report } = createWaits({ online: 0 });
    assert.equal(waits.isFullOfRuns(upstream), false, "no runs");
    report(1);
    assert.equal(waits.isFullOfRuns(upstream), true, "a run has the slot");
    assert.equal(waits.isFullOfRuns({ ...upstream, slots: 2 }), false, "a slot is left for the request");
    report(0);
    await clock.advance(50);
    assert.equal(waits.isFullOfRuns(upstream), true, "the run has just ended");
    loadTracker.count(upstream.id, "online", 1);
    assert.equal(waits.isFullOfRuns(upstream), false, "another online request has the slot");
    loadTracker.count(upstream.id, "online", -1);
    await clock.advance(100);
    assert.equal(waits.isFullOfRuns(upstream), false, "the run ended long ago");
});

test("the end of a run counts from the last report that showed it, also when its process falls silent", () => {
    const { loadTracker, report } = createWaits();
    report(1);
    loadTracker.expire(5000);
    assert.equal(loadTracker.batchEndedAtMs(upstream.id), 5000);
    loadTracker.expire(50_000);
    assert.equal(loadTracker.batchEndedAtMs(upstream.id), -Infinity);
});
