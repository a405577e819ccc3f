import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobKeys } from "../src/jobKeys.js";
import { JobTable } from "../src/jobTable.js";
import { jobOf } from "./jobOf.js";

const record = jobOf({ id: "j", itemCount: 2 });

function entryOf(key: string, value: object): KeyValueEntry {
    return { key, value: encodeRecord(value), modRevision: 1, leaseId: undefined };
}

test("a cancellation that arrives before its job takes effect with it", () => {
    const table = new JobTable();
    assert.deepEqual(table.apply([entryOf(jobKeys.cancellation(record.jobId), {})]), []);
    const cancelled = table.apply([entryOf(jobKeys.record(record.jobId), record)]);
    assert.deepEqual(cancelled.map(job => job.record.jobId), ["j"]);
});

test("what items had produced is carried over a lost and regained lead", () => {
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

test("a result that another process stored is not undone by what was carried over", () => {
    const table = new JobTable();
    const entry = entryOf(jobKeys.record(record.jobId), record);
    table.apply([entry]);
    Object.assign(table.get(record.jobId)!.items[0]!, { events: ["a"], lastEventId: 1 });
    const earlier = table.clear();
    table.apply([entry]);
    const stored = { itemId: record.items[0]!.id, state: "completed", output: "whole" };
    table.applyResults([entryOf(jobKeys.result(record.jobId, 0), stored)]);
    table.restoreFrom(earlier);
    assert.equal(table.get(record.jobId)!.items[0]!.state, "listed");
    assert.deepEqual(table.get(record.jobId)!.page(0).results, [stored]);
});
