import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LoadReport } from "../src/loadReport.js";
import { LoadTracker } from "../src/loadTracker.js";

const id = "u" as UpstreamId;

function reportOf(change: Partial<LoadReport>): LoadReport {
    return {
        instanceName: "other" as InstanceName,
        startedAtMs: 1,
        sequence: 1,
        isKeyValueReachable: true,
        ejected: [],
        counts: [{ upstreamId: id, online: 3, batch: 1 }],
        waiting: [],
        configurationRevision: 0,
        jobsRevision: 0,
        upstreamsRevision: 0,
        leader: undefined,
        ...change,
    };
}

test("adds up own and reported requests", () => {
    const tracker = new LoadTracker();
    tracker.count(id, "online", 1);
    tracker.apply(reportOf({}), 0);
    tracker.apply(reportOf({ instanceName: "third" as InstanceName }), 0);
    assert.deepEqual([tracker.onlineCount(id), tracker.batchCount(id)], [7, 2]);
});

test("ignores a report older than the last one and applies a report from a restarted process", () => {
    const tracker = new LoadTracker();
    tracker.apply(reportOf({ sequence: 5 }), 0);
    assert.equal(tracker.apply(reportOf({ sequence: 4, counts: [] }), 0), false);
    assert.equal(tracker.onlineCount(id), 3);
    assert.equal(tracker.apply(reportOf({ startedAtMs: 2, sequence: 1, counts: [] }), 0), true);
    assert.equal(tracker.onlineCount(id), 0);
});

test("drops the counts of a process that sends no more reports", () => {
    const tracker = new LoadTracker();
    tracker.apply(reportOf({}), 0);
    tracker.expire(5000);
    assert.equal(tracker.onlineCount(id), 0);
});

test("reports whether a peer can reach the key-value service", () => {
    const tracker = new LoadTracker();
    assert.equal(tracker.isKeyValueReachableByPeer(), false);
    tracker.apply(reportOf({ isKeyValueReachable: false }), 0);
    assert.equal(tracker.isKeyValueReachableByPeer(), false);
    tracker.apply(reportOf({ instanceName: "third" as InstanceName }), 0);
    assert.equal(tracker.isKeyValueReachableByPeer(), true);
    tracker.expire(5000);
    assert.equal(tracker.isKeyValueReachableByPeer(), false);
});
