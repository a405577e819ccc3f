import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { JobReader } from "../src/jobReader.js";
import { JobTable } from "../src/jobTable.js";
import { planJobWrite } from "../src/planJobWrite.js";
import { createJobRecord } from "./createJobRecord.js";

const record = createJobRecord({ id: "j", itemCount: 1 });

async function setUp() {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const job = { record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined };
    await service.transact([], planJobWrite(job, undefined).operations);
    const table = new JobTable();
    const leadership = { fencingNumber: 1 };
    const reader = new JobReader({
        clock,
        service,
        table,
        currentFencingNumber: () => leadership.fencingNumber,
        reachableSinceMs: () => -Infinity,
        knowsHeldJobs: () => true,
        collectHeldJobs: () => Promise.resolve(true),
        apply: entries => table.apply(entries),
    });
    const { signal } = new AbortController();
    const read = () => reader.results({ jobId: record.jobId, after: 0, waitMs: 0, signal });
    return { clock, service, table, leadership, read };
}

test("a job that the watch has not delivered yet is read from the key-value service", async () => {
    const { read } = await setUp();
    assert.deepEqual(await read(), { total: 1, results: [], next: 0 });
});

// The job opened in the table of the next leadership without its results, although it may have been removed since.
test("a job that was looked up under an earlier leadership is not opened", async () => {
    const { clock, service, table, leadership, read } = await setUp();
    service.faults.responseDelayMs = 100;
    const reading = read();
    const rejected = assert.rejects(reading, { code: "ERR_KNAPWEED_JOBS_NOT_LED" });
    await clock.advance(150);
    leadership.fencingNumber = 2;
    await clock.advance(100);
    await rejected;
    assert.equal(table.get(record.jobId), undefined);
});

// A read looked for a job just before the leader had collected the held jobs. The collection was complete when the read
// ended, and the reader answered that the job doesn't exist.
test("a held job that is collected during a read of it is found", async () => {
    const table = new JobTable();
    let knowsHeldJobs = false;
    const get = () => {
        table.applyHeld({ record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined });
        knowsHeldJobs = true;
        return Promise.resolve(undefined);
    };
    const reader = new JobReader({
        clock: new ManualClock(),
        service: { get } as unknown as SnapshotKeyValueService,
        table,
        currentFencingNumber: () => 1,
        reachableSinceMs: () => -Infinity,
        knowsHeldJobs: () => knowsHeldJobs,
        collectHeldJobs: () => Promise.resolve(true),
        apply: () => undefined,
    });
    const { signal } = new AbortController();
    const page = await reader.results({ jobId: record.jobId, after: 0, waitMs: 0, signal });
    assert.equal(page?.total, 1);
});
