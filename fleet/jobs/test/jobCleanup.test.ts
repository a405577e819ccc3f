import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { JobCleanup } from "../src/jobCleanup.js";
import { jobKeys } from "../src/jobKeys.js";
import { JobTable } from "../src/jobTable.js";
import { TOMBSTONE_RETENTION_MS } from "../src/tombstoneRetentionMs.js";
import { createJobRecord } from "./createJobRecord.js";

const record = createJobRecord({ id: "j", itemCount: 40 });

async function setUp() {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { revision } = await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("a") }]);
    const stepDown = mock.fn();
    const leadership: FencedLeadership = {
        isLeading: () => true,
        fence: () => ({ key: "leader", modRevision: revision }),
        stepDown,
    };
    const results = record.items.map((item, position) => ({
        kind: "put" as const,
        key: jobKeys.result(record.jobId, position),
        value: encodeRecord({ itemId: item.id, state: "completed", output: "x" }),
    }));
    await service.transact([], [
        ...results,
        {
            kind: "put",
            key: jobKeys.listedItems(record.jobId),
            value: encodeRecord({ nonce: "n", itemIndexes: record.items.map((_, index) => index) }),
        },
        { kind: "put", key: jobKeys.record(record.jobId), value: encodeRecord(record) },
        {
            kind: "put",
            key: jobKeys.waitingTokens(record.routeName),
            value: encodeRecord({ jobs: [{ jobId: record.jobId, tokens: 5 }, { jobId: "other", tokens: 7 }] }),
        },
    ]);
    const load = async () => {
        const table = new JobTable();
        table.apply(await service.list(jobKeys.jobsPrefix));
        table.applyResults(await service.list(jobKeys.resultsPrefix));
        return table;
    };
    const table = await load();
    const cleanup = new JobCleanup({
        clock,
        service,
        logger: silentLogger,
        leadership,
        table,
        resultRetentionMs: () => 1000,
    });
    return { clock, service, table, load, stepDown, cleanup };
}

test("the tokens of an ended job are released once the service responds again", async () => {
    const { service, table, cleanup } = await setUp();
    cleanup.onEnded(table.get(record.jobId)!);
    service.faults.outage = true;
    await cleanup.run();
    service.faults.outage = false;
    await cleanup.run();
    const entry = await service.get(jobKeys.waitingTokens(record.routeName));
    assert.deepEqual(JSON.parse(Buffer.from(entry!.value).toString()), { jobs: [{ jobId: "other", tokens: 7 }] });
});

// A gateway sets the time of a job's acceptance; its clock may be seconds behind the leader's.
test("an ended job is removed after its retention time by every clock of the fleet, not before", async () => {
    const { clock, service, table, cleanup } = await setUp();
    await clock.advance(5900);
    await cleanup.run();
    assert.notEqual(await service.get(jobKeys.record(record.jobId)), undefined);
    await clock.advance(200);
    await cleanup.run();
    assert.deepEqual(await service.list("knapweed/jobs/"), []);
    assert.deepEqual(await service.list("knapweed/results/"), []);
    assert.equal(table.get(record.jobId), undefined);
});

// The result of the removal was not looked at: a refused one counted as done.
test("a job whose removal is refused stays in the table", async () => {
    const { clock, service, table, stepDown, cleanup } = await setUp();
    await clock.advance(6100);
    await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("b") }]);
    await cleanup.run();
    assert.notEqual(await service.get(jobKeys.record(record.jobId)), undefined);
    assert.notEqual(table.get(record.jobId), undefined);
    assert.equal(stepDown.mock.callCount(), 1);
});

/** Carries out the first write of a removal and loses the connection for the rest. */
async function interruptRemoval({ service, cleanup }: Awaited<ReturnType<typeof setUp>>): Promise<void> {
    const transact = service.transact.bind(service);
    const writes = mock.method(service, "transact", (...args: Parameters<typeof transact>) => {
        service.faults.outage = writes.mock.callCount() > 0;
        return transact(...args);
    });
    await cleanup.run();
    service.faults.outage = false;
}

// A new leader took the items whose results were removed already for items without one, and gave them all up.
test("a job whose removal was interrupted has no item left to run or to give up", async () => {
    const testBed = await setUp();
    const { clock, service, load } = testBed;
    await clock.advance(6100);
    await interruptRemoval(testBed);
    const table = await load();
    const job = table.get(record.jobId)!;
    assert.ok(job.resultCount > 0 && (await service.list(jobKeys.resultsPrefix)).length < record.items.length);
    assert.deepEqual(job.items.filter(item => item.state !== "stored"), []);
    assert.ok(job.isEnded);
});

// The cancellation went before the record, so a new leader ran the items that the job's caller had cancelled.
test("a cancelled job whose removal was interrupted is still cancelled", async () => {
    const testBed = await setUp();
    const { clock, service, table, load } = testBed;
    const cancellation = { key: jobKeys.cancellation(record.jobId), value: encodeRecord({ cancelled: true }) };
    await service.transact(
        [],
        record.items.slice(1, 31).map((_, index) => ({
            kind: "delete",
            key: jobKeys.result(record.jobId, index + 1),
        })),
    );
    await service.transact([], [
        { kind: "put", ...cancellation },
        { kind: "put", key: jobKeys.listedItems(record.jobId), value: encodeRecord({ nonce: "n", itemIndexes: [0] }) },
    ]);
    table.apply(await service.list(jobKeys.jobsPrefix));
    await clock.advance(6100);
    await interruptRemoval(testBed);
    assert.notEqual(await service.get(jobKeys.record(record.jobId)), undefined);
    assert.ok((await load()).get(record.jobId)!.isEnded);
});

// The copies of a removed job on disks outlast it, but not for ever.
test("a removed job has a tombstone for a day, which a later removal removes", async () => {
    const { clock, service, cleanup } = await setUp();
    const old = jobKeys.tombstone("old" as JobId);
    const recent = jobKeys.tombstone("recent" as JobId);
    const removedAtMs = clock.nowMs();
    await clock.advance(TOMBSTONE_RETENTION_MS);
    await service.transact([], [
        { kind: "put", key: old, value: encodeRecord({ removedAtMs }) },
        { kind: "put", key: recent, value: encodeRecord({ removedAtMs: clock.nowMs() }) },
    ]);
    await clock.advance(6000);
    await cleanup.run();
    const keys = (await service.list(jobKeys.tombstonesPrefix)).map(({ key }) => key);
    assert.deepEqual(keys, [jobKeys.tombstone(record.jobId), recent]);
});
