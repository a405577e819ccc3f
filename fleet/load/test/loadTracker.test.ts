import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LoadReport } from "../src/loadReport.js";
import { LoadTracker } from "../src/loadTracker.js";
import { loadReportOf } from "./loadReportOf.js";

const id = "u" as UpstreamId;

function reportOf(change: Partial<LoadReport>): LoadReport {
    return loadReportOf({ counts: [{ upstreamId: id, online: 3, batch: 1 }], ...change });
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

// Each report changes the sums by its difference from the one before. An error in one change would stay in the sums.
test("the sums equal those over the last valid reports after any sequence of reports and expiries", () => {
    const upstreamIds = ["a", "b", "c"] as UpstreamId[];
    const service = "s" as ServiceName;
    const step = fc.record({
        peer: fc.integer({ min: 0, max: 3 }),
        sequence: fc.integer({ min: 1, max: 20 }),
        elapsedMs: fc.integer({ min: 0, max: 700 }),
        online: fc.array(fc.integer({ min: 0, max: 5 }), { minLength: 3, maxLength: 3 }),
        waiting: fc.integer({ min: 0, max: 4 }),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const tracker = new LoadTracker();
        const last = new Map<number, { report: LoadReport; atMs: number; }>();
        let nowMs = 0;
        steps.forEach(({ peer, sequence, elapsedMs, online, waiting }) => {
            nowMs += elapsedMs;
            tracker.expire(nowMs);
            [...last].filter(([, known]) => known.atMs + 1500 < nowMs).forEach(([name]) => last.delete(name));
            const counts = upstreamIds.map((upstreamId, index) => ({ upstreamId, online: online[index]!, batch: 1 }));
            const instanceName = `peer-${peer}` as InstanceName;
            const report = reportOf({ instanceName, sequence, counts, waiting: [{ service, count: waiting }] });
            if (tracker.apply(report, nowMs)) {
                last.set(peer, { report, atMs: nowMs });
            }
        });
        const reports = [...last.values()].map(({ report }) => report);
        const sumOf = (values: number[]) => values.reduce((sum, value) => sum + value, 0);
        upstreamIds.forEach((upstreamId, index) => {
            const online = sumOf(reports.map(report => report.counts[index]!.online));
            assert.deepEqual([tracker.onlineCount(upstreamId), tracker.batchCount(upstreamId)], [online, last.size]);
        });
        assert.equal(tracker.waitingAtPeers(service), sumOf(reports.map(report => report.waiting[0]!.count)));
    }));
});
