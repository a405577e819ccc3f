import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { ItemProgress } from "../src/itemProgress.js";
import { jobKeys } from "../src/jobKeys.js";
import { JobTable } from "../src/jobTable.js";
import { OpenJob } from "../src/openJob.js";
import { ProgressWriter } from "../src/progressWriter.js";
import { createJobRecord } from "./createJobRecord.js";

async function setUp() {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    const { revision } = await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("a") }]);
    const term = { revision };
    const stepDown = mock.fn();
    const leadership: FencedLeadership = {
        isLeading: () => true,
        fence: () => ({ key: "leader", modRevision: term.revision }),
        stepDown,
    };
    const job = new OpenJob(createJobRecord({ id: "j", itemCount: 3 }));
    job.items.forEach((item, index) => {
        item.state = "running";
        item.lastEventId = index * 10;
        item.events = Array.from({ length: index * 10 }, (_, event) => `e${event}`);
    });
    return { service, job, term, stepDown, writer: new ProgressWriter({ service, leadership }) };
}

test("the next leader continues from the stored progress", async () => {
    const { service, job, writer } = await setUp();
    await writer.saveFurthest([job], 5);
    const table = new JobTable();
    const record = { key: jobKeys.record(job.record.jobId), value: encodeRecord(job.record) };
    table.apply([{ ...record, modRevision: 1, leaseId: undefined }]);
    table.applyResults(await service.list(jobKeys.resultsPrefix));
    assert.deepEqual(table.get(job.record.jobId)!.items.map(item => item.lastEventId), [0, 10, 20]);
    assert.equal(table.get(job.record.jobId)!.items[2]!.events.at(-1), "e19");
});

test("stored progress is not stored again until it has grown", async () => {
    const { service, job, writer } = await setUp();
    await writer.saveFurthest([job], 5);
    const writes = service.counters.writes;
    await writer.saveFurthest([job], 5);
    assert.equal(service.counters.writes, writes);
});

// Three leaders in 36 s each began again with about 200 items: only 30 running ones were stored each 1.5 s, and none that
// an online request had displaced.
test("a checkpoint stores the progress of all items, also of displaced ones", async () => {
    const { service, writer } = await setUp();
    const job = new OpenJob(createJobRecord({ id: "large", itemCount: 100 }));
    job.items.forEach((item, index) => {
        item.state = index % 2 === 0 ? "running" : "pending";
        item.lastEventId = 40;
    });
    await writer.saveFurthest([job], 25);
    assert.equal((await service.list(jobKeys.resultsPrefix)).length, 100);
});

test("a former leader stores nothing", async () => {
    const { service, job, writer } = await setUp();
    await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("b") }]);
    await writer.saveAll([job]);
    assert.deepEqual(await service.list(jobKeys.resultsPrefix), []);
});

// The result of the write was not looked at: refused progress counted as stored, and was not stored later.
test("progress whose write is refused does not count as stored", async () => {
    const { service, job, term, stepDown, writer } = await setUp();
    const { revision } = await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("b") }]);
    assert.equal(await writer.saveAll([job]), 0);
    assert.equal(stepDown.mock.callCount(), 1);
    term.revision = revision;
    await writer.saveFurthest([job], 5);
    assert.equal((await service.list(jobKeys.resultsPrefix)).length, 2);
});

// Failures were stored only along with 25 events or more, so the next leader counted an item's failures from 0.
test("a checkpoint stores failures that aren't stored yet, once, whatever the events", async () => {
    const { service, job, writer } = await setUp();
    const [failing] = job.items;
    failing!.failedAttempts = 1;
    await writer.saveFurthest([job], 25);
    const key = jobKeys.progress(job.record.jobId, 0);
    const entry = await service.get(key);
    assert.equal(decodeRecord<ItemProgress>(entry!.value).failedAttempts, 1);
    const { writes } = service.counters;
    await writer.saveFurthest([job], 25);
    assert.equal(service.counters.writes, writes);
    failing!.failedAttempts = 2;
    await writer.saveFurthest([job], 25);
    assert.equal(service.counters.writes, writes + 1);
});

// A write of 30 items with long outputs had 27 MB; a service that refuses so much would have stored no progress at all.
test("a write of progress has about a megabyte at most, and one item at least", async () => {
    const { service, writer } = await setUp();
    const job = new OpenJob(createJobRecord({ id: "large", itemCount: 9 }));
    const eventBytes = [300_000, 300_000, 300_000, 300_000, 900_000, 900_000, 10, 10, 10];
    job.items.forEach((item, index) => {
        item.state = "running";
        item.lastEventId = 100 - index;
        item.events = ["e".repeat(eventBytes[index]!)];
    });
    const transact = mock.method(service, "transact");
    assert.equal(await writer.saveAll([job]), 9);
    const counts = transact.mock.calls.map(({ arguments: [, operations] }) => operations.length);
    assert.deepEqual(counts, [3, 1, 1, 4]);
});
