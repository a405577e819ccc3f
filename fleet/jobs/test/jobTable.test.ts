import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobKeys } from "../src/jobKeys.js";
import { JobTable } from "../src/jobTable.js";
import { createJobRecord } from "./createJobRecord.js";

const record = createJobRecord({ id: "j", itemCount: 2 });

function entryOf(key: string, value: object): KeyValueEntry {
    return { key, value: encodeRecord(value), modRevision: 1, leaseId: undefined };
}

test("a cancellation that arrives before its job takes effect when the job arrives", () => {
    const table = new JobTable();
    assert.deepEqual(table.apply([entryOf(jobKeys.cancellation(record.jobId), {})]), []);
    const cancelled = table.apply([entryOf(jobKeys.record(record.jobId), record)]);
    assert.deepEqual(cancelled.map(job => job.record.jobId), ["j"]);
});

test("the progress of items is kept when leadership is lost and regained", () => {
    const table = new JobTable();
    const entry = entryOf(jobKeys.record(record.jobId), record);
    table.apply([entry]);
    Object.assign(table.get(record.jobId)!.items[1]!, { events: ["a", "b"], lastEventId: 2, state: "running" });
    const earlier = table.clear();
    table.apply([entry]);
    table.restoreFrom(earlier);
    const [first, second] = table.get(record.jobId)!.items;
    assert.equal(first!.lastEventId, 0);
    assert.deepEqual([second!.events, second!.state], [["a", "b"], "pending"]);
});

test("restored progress does not undo a result that another process stored", () => {
    const table = new JobTable();
    const entry = entryOf(jobKeys.record(record.jobId), record);
    table.apply([entry]);
    Object.assign(table.get(record.jobId)!.items[0]!, { events: ["a"], lastEventId: 1 });
    const earlier = table.clear();
    table.apply([entry]);
    const stored = { itemId: record.items[0]!.id, state: "completed", output: "whole" };
    table.applyResults([entryOf(jobKeys.result(record.jobId, 0), stored)]);
    table.restoreFrom(earlier);
    assert.equal(table.get(record.jobId)!.items[0]!.state, "stored");
    assert.deepEqual(table.get(record.jobId)!.page(0).results, [stored]);
});

test("tokens count as waiting while their items have no result, also for held jobs", () => {
    const table = new JobTable();
    table.applyHeld({
        record: createJobRecord({ id: "a", itemCount: 2 }),
        bodies: Buffer.alloc(0),
        maxWaitingTokens: 1000,
    });
    table.applyHeld({
        record: createJobRecord({ id: "b", itemCount: 3 }),
        bodies: Buffer.alloc(0),
        maxWaitingTokens: 1000,
    });
    const [first] = table.all();
    first!.items[0]!.state = "finished";
    assert.equal(table.waitingTokens({ routeName: "route" }, new Set(["b" as JobId])), 100);
    assert.equal(table.waitingTokens({ routeName: "route" }, new Set(["none" as JobId])), 400);
    assert.equal(table.waitingTokens({ routeName: "other" }, new Set(["none" as JobId])), 0);
});

test("a job that ended before its record was stored is found when the record arrives", () => {
    const table = new JobTable();
    const record = createJobRecord({ id: "a", itemCount: 1 });
    table.applyHeld({ record, bodies: Buffer.alloc(0), maxWaitingTokens: 1000 });
    table.get(record.jobId)!.addResult(0, { itemId: record.items[0]!.id, state: "completed", output: "" });
    const entry = {
        key: jobKeys.record(record.jobId),
        value: encodeRecord(record),
        modRevision: 1,
        leaseId: undefined,
    };
    table.apply([entry]);
    assert.deepEqual(table.findEnded([entry]).map(job => job.record.jobId), ["a"]);
});

// A listing that began before a job was removed opened it again, without results, and all its items were given up.
test("entries that were read before a job was removed don't open it again", () => {
    const table = new JobTable();
    const entry = entryOf(jobKeys.record(record.jobId), record);
    table.apply([entry]);
    table.delete(record.jobId, entry.modRevision + 1);
    table.apply([entry]);
    assert.equal(table.get(record.jobId), undefined);
    table.apply([{ ...entry, modRevision: entry.modRevision + 2 }]);
    assert.notEqual(table.get(record.jobId), undefined);
});

test("a copy of a job that this leader has removed doesn't open it again", () => {
    const table = new JobTable();
    table.apply([entryOf(jobKeys.record(record.jobId), record)]);
    table.delete(record.jobId, 2);
    table.applyHeld({ record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined });
    assert.equal(table.get(record.jobId), undefined);
});

// A process that led again overwrote the stored number of failures with its own, older one, so the item failed more often
// than its job allows.
test("restored progress never lowers the number of an item's failures, and raises it even if it has fewer events", () => {
    const table = new JobTable();
    const entry = entryOf(jobKeys.record(record.jobId), record);
    table.apply([entry]);
    Object.assign(table.get(record.jobId)!.items[0]!, { failedAttempts: 1 });
    Object.assign(table.get(record.jobId)!.items[1]!, { failedAttempts: 2, events: [], lastEventId: 0 });
    const earlier = table.clear();
    table.apply([entry]);
    const progress = { events: [], lastEventId: 0, failedAttempts: 2, isComplete: false };
    table.applyResults([
        entryOf(jobKeys.progress(record.jobId, 0), progress),
        entryOf(jobKeys.progress(record.jobId, 1), { ...progress, events: ["a"], lastEventId: 1, failedAttempts: 0 }),
    ]);
    table.restoreFrom(earlier);
    const items = table.get(record.jobId)!.items;
    assert.deepEqual(items.map(item => [item.failedAttempts, item.lastEventId]), [[2, 0], [2, 1]]);
});
