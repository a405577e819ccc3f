import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ItemResult } from "../src/itemResult.js";
import { jobKeys } from "../src/jobKeys.js";
import { planJobWrite } from "../src/planJobWrite.js";
import { StoredJobReader } from "../src/storedJobReader.js";
import { createJobRecord } from "./createJobRecord.js";

const jobId = "job" as JobId;

async function setUp() {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    const record = createJobRecord({ id: jobId, itemCount: 3 });
    record.partCount = 1;
    record.items[1]!.bodyOffset = 2;
    record.items[1]!.bodyBytes = 3;
    const job = { record, bodies: Buffer.from("abcde"), maxWaitingTokens: undefined };
    await service.transact([], planJobWrite(job, undefined).operations);
    const results = record.items.slice(0, 2).map(({ id }): ItemResult => ({
        itemId: id,
        state: "completed",
        output: id,
    }));
    const put = (key: string, value: unknown) => ({ kind: "put", key, value: encodeRecord(value) } as const);
    await service.transact([], [
        ...results.map((result, position) => put(jobKeys.result(jobId, position), result)),
        put(jobKeys.progress(jobId, 2), { lastEventId: 1 }),
    ]);
    return { service, reader: new StoredJobReader({ service }), results };
}

// After all power was lost, the leader was unreachable for 50 s and no gateway could read any job.
test("any process reads stored results from any position, and bodies", async () => {
    const { reader, results } = await setUp();
    assert.deepEqual(await reader.results({ jobId, after: 0 }), { total: 3, results, next: 2 });
    assert.deepEqual(await reader.results({ jobId, after: 1 }), { total: 3, results: results.slice(1), next: 2 });
    assert.deepEqual(await reader.results({ jobId, after: 2 }), { total: 3, results: [], next: 2 });
    assert.equal((await reader.itemBody({ jobId: jobId, itemId: `${jobId}-1` as ItemId }))?.toString(), "cde");
    assert.equal(await reader.itemBody({ jobId: jobId, itemId: "other" as ItemId }), undefined);
});

// An accepted job may be held on disks only; a 404 for it would tell its caller that it is lost.
test("a job that isn't stored is reported as uncertain, not as missing", async () => {
    const { reader } = await setUp();
    const unknown = "unknown" as JobId;
    await assert.rejects(reader.results({ jobId: unknown, after: 0 }), { code: "ERR_KNAPWEED_JOBS_NOT_SETTLED" });
    await assert.rejects(reader.itemBody({ jobId: unknown, itemId: "i" as ItemId }), {
        code: "ERR_KNAPWEED_JOBS_NOT_SETTLED",
    });
});

// While a job was being removed, its later results were read as if they stood at the first positions.
test("results are not read at other positions while those before are removed", async () => {
    const { service, reader } = await setUp();
    await service.transact([], [{ kind: "delete", key: jobKeys.result(jobId, 0) }]);
    await assert.rejects(reader.results({ jobId, after: 0 }), { code: "ERR_KNAPWEED_JOBS_NOT_SETTLED" });
});
