import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { JobCleanup } from "../src/jobCleanup.js";
import { jobKeys } from "../src/jobKeys.js";
import { JobTable } from "../src/jobTable.js";
import type { WaitingTokens } from "../src/waitingTokens.js";
import { createJobRecord } from "./createJobRecord.js";

const RETENTION_MS = 1000;
const AFTER_RETENTION_MS = 10_000;
const records = ["first", "second"].map(id => ({ ...createJobRecord({ id, itemCount: 1 }), routeName: `route-${id}` }));
const [first, second] = records as [typeof records[0], typeof records[0]];

/** Stores two ended jobs of different routes and loads them as a new leader does. */
async function setUp() {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { revision } = await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("a") }]);
    const put = (key: string, value: object) => ({ kind: "put" as const, key, value: encodeRecord(value) });
    await service.transact(
        [],
        records.flatMap(record => [
            put(jobKeys.record(record.jobId), record),
            put(jobKeys.result(record.jobId, 0), { itemId: record.items[0]!.id, state: "completed", output: "x" }),
            put(jobKeys.listedItems(record.jobId), { nonce: "n", itemIndexes: [0] }),
            put(jobKeys.waitingTokens(record.routeName), { jobs: [{ jobId: record.jobId, tokens: 100 }] }),
        ]),
    );
    const lead = async () => {
        const table = new JobTable();
        const listing = await service.list(jobKeys.jobsPrefix);
        table.apply(listing);
        table.applyResults(await service.list(jobKeys.resultsPrefix));
        const cleanup = new JobCleanup({
            clock,
            service,
            logger: silentLogger,
            leadership: {
                isLeading: () => true,
                fence: () => ({ key: "leader", modRevision: revision }),
                stepDown: () => undefined,
            },
            table,
            resultRetentionMs: () => RETENTION_MS,
        });
        return { table, cleanup, listing };
    };
    await clock.advance(AFTER_RETENTION_MS);
    return { clock, service, lead };
}

// The items of an expired job were given up while the tokens of another job were being released. The job was removed before
// its own tokens were, and no later leader knew the job any more.
test("the tokens of a job that ends late are released, even if the leader is lost just after it is removed", async () => {
    const { service, lead } = await setUp();
    const earlier = await lead();
    earlier.table.delete(first.jobId, 0);
    earlier.cleanup.onEnded({ record: first } as never);
    const get = service.get.bind(service);
    const read = mock.method(service, "get", async (key: string) => {
        const entry = await get(key);
        earlier.cleanup.onEnded(earlier.table.get(second.jobId)!);
        read.mock.restore();
        return entry;
    });
    await earlier.cleanup.run();
    earlier.cleanup.reset();
    const next = await lead();
    next.table.all().filter(job => job.isEnded).forEach(job => next.cleanup.onEnded(job));
    await next.cleanup.run();
    const waiting = await service.get(jobKeys.waitingTokens(second.routeName));
    assert.deepEqual(decodeRecord<WaitingTokens>(waiting!.value).jobs, []);
});

// The response to the last write of a removal was lost. The next run found nothing left to remove, and recorded the removal
// at revision 0, so that a listing that began earlier opened the job again without its results.
test("a job whose removal lost its last response is not opened again by an earlier listing", async () => {
    const { service, lead } = await setUp();
    const { table, cleanup, listing } = await lead();
    table.delete(second.jobId, service.revision);
    const transact = service.transact.bind(service);
    const writes = mock.method(service, "transact", (...parameters: Parameters<typeof transact>) => {
        service.faults.loseNextResponses(writes.mock.callCount() === 1 ? 1 : 0);
        return transact(...parameters);
    });
    await cleanup.run();
    assert.notEqual(table.get(first.jobId), undefined, "the removal isn't certain yet");
    await cleanup.run();
    assert.equal(table.get(first.jobId), undefined);
    table.apply(listing);
    assert.equal(table.get(first.jobId), undefined);
});

// The removal of a cancelled job was interrupted after its cancellation was removed, before its record. The next leader took
// the job for an open one.
test("a cancelled job whose removal was interrupted doesn't become an open one", async () => {
    const { service, lead } = await setUp();
    const third = { ...createJobRecord({ id: "third", itemCount: 5 }), acceptedAtMs: -AFTER_RETENTION_MS };
    const { jobId } = third;
    await service.transact([], [
        { kind: "put", key: jobKeys.record(jobId), value: encodeRecord(third) },
        { kind: "put", key: jobKeys.cancellation(jobId), value: encodeRecord({ cancelled: true }) },
    ]);
    const { table, cleanup } = await lead();
    records.forEach(record => table.delete(record.jobId, service.revision));
    const transact = service.transact.bind(service);
    const writes = mock.method(service, "transact", (...parameters: Parameters<typeof transact>) => {
        service.faults.outage = writes.mock.callCount() > 0;
        return transact(...parameters);
    });
    await cleanup.run();
    service.faults.outage = false;
    const job = (await lead()).table.get(jobId);
    assert.ok(job === undefined || job.isEnded, "it has items that may run or be given up");
});
