import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { mock, test } from "node:test";
import { CLOCK_MARGIN_MS } from "../src/clockMarginMs.js";
import type { HeldJob } from "../src/heldJob.js";
import { HeldJobs } from "../src/heldJobs.js";
import { JobCleanup } from "../src/jobCleanup.js";
import { jobKeys } from "../src/jobKeys.js";
import { JobTable } from "../src/jobTable.js";
import { planJobWrite } from "../src/planJobWrite.js";
import { TOMBSTONE_RETENTION_MS } from "../src/tombstoneRetentionMs.js";
import type { WaitingTokens } from "../src/waitingTokens.js";
import { createJobRecord } from "./createJobRecord.js";
import { RejectingKeyValueService } from "./rejectingKeyValueService.js";

/** Rounds of `settle` after which a test no longer waits for a condition. */
const MAX_ROUNDS = 50;
const RESULT_RETENTION_MS = 120_000;
const job: HeldJob = {
    record: { ...createJobRecord({ id: "j", itemCount: 1 }), partCount: 1 },
    bodies: Buffer.from("body"),
    maxWaitingTokens: 1000,
};

async function withFolder(action: (folder: string) => Promise<void>): Promise<void> {
    const folder = await mkdtemp(path.join(tmpdir(), "held-"));
    try {
        await action(folder);
    }
    finally {
        await rm(folder, { recursive: true });
    }
}

type StartOptions = {
    folder: string;
    service: MemoryKeyValueService;
    clock: ManualClock;
    signal: AbortSignal;
    segments?: FolderSegmentStore;
};

function start(opts: StartOptions, isLeading = true) {
    const seen: HeldJob[] = [];
    const held = new HeldJobs({
        segments: opts.segments ?? new FolderSegmentStore({ dataFolder: opts.folder }),
        service: opts.service,
        clock: opts.clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        onHeld: one => seen.push(one),
        isLeading: () => isLeading,
    });
    void held.run(opts.signal);
    return { held, seen };
}

/** Gives real file operations time to finish between steps of the manual clock. */
async function settle(clock: ManualClock): Promise<void> {
    for (let step = 0; step < 20; step += 1) {
        await new Promise(resolve => setTimeout(resolve, 10));
        await clock.advance(200);
    }
}

/** As `settle`, until `isDone`: file operations of a busy machine may take longer. */
async function settleUntil(clock: ManualClock, isDone: () => boolean): Promise<void> {
    for (let round = 0; round < MAX_ROUNDS && !isDone(); round += 1) {
        await settle(clock);
    }
}

test("a job held during an outage is written after recovery, even by a restarted process", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const service = new MemoryKeyValueService({ clock });
        service.faults.outage = true;
        const first = new AbortController();
        const { held } = start({ folder, service, clock, signal: first.signal });
        await settle(clock);
        await held.hold(job);
        first.abort();

        const second = new AbortController();
        const restarted = start({ folder, service, clock, signal: second.signal });
        await settleUntil(clock, () => restarted.seen.length > 0);
        assert.deepEqual(restarted.seen.map(one => one.record.jobId), ["j"]);
        service.faults.outage = false;
        await settleUntil(clock, () => restarted.held.count === 0);
        assert.notEqual(await service.get(jobKeys.record(job.record.jobId)), undefined);
        assert.equal(Buffer.from((await service.get(jobKeys.part(job.record.jobId, 0)))!.value).toString(), "body");
        assert.equal(restarted.held.count, 0);
        const waiting = decodeRecord<WaitingTokens>((await service.get(jobKeys.waitingTokens("route")))!.value);
        assert.deepEqual(
            waiting,
            { jobs: [{ jobId: "j", tokens: 100 }] },
            "its tokens count as waiting once it is written",
        );
        second.abort();
    });
});

test("a job that is already stored is not written again", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const service = new MemoryKeyValueService({ clock });
        await service.transact([], [{ kind: "put", key: jobKeys.record(job.record.jobId), value: Buffer.from("{}") }]);
        const controller = new AbortController();
        const { held } = start({ folder, service, clock, signal: controller.signal });
        await settle(clock);
        await held.hold(job);
        await settleUntil(clock, () => held.count === 0);
        assert.equal(held.count, 0);
        assert.equal(Buffer.from((await service.get(jobKeys.record(job.record.jobId)))!.value).toString(), "{}");
        controller.abort();
    });
});

// All runners wrote the same held jobs at once, and each write changed the count that the others' writes compared.
test("a runner that doesn't lead gives the leader time to write a held job, and writes it if that doesn't", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const service = new MemoryKeyValueService({ clock });
        const controller = new AbortController();
        const { held } = start({ folder, service, clock, signal: controller.signal }, false);
        await new Promise(resolve => setTimeout(resolve, 50));
        await held.hold(job);
        await clock.advance(1200);
        assert.equal(await service.get(jobKeys.record(job.record.jobId)), undefined);
        await settleUntil(clock, () => held.count === 0);
        assert.notEqual(await service.get(jobKeys.record(job.record.jobId)), undefined);
        assert.equal(held.count, 0);
        controller.abort();
    });
});

// The removal of interrupted writes at the start took a write in progress for one of them, and the job was not held.
test("a job that arrives while the disk is being prepared is held after that", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const segments = new FolderSegmentStore({ dataFolder: folder });
        let finishPreparing = () => {};
        const prepare = segments.prepare.bind(segments);
        mock.method(segments, "prepare", async () => {
            await new Promise<void>(resolve => finishPreparing = resolve);
            await prepare();
        });
        const put = mock.method(segments, "put");
        const controller = new AbortController();
        const service = new MemoryKeyValueService({ clock });
        const { held } = start({ folder, service, clock, signal: controller.signal, segments });
        const holding = held.hold(job);
        await new Promise(resolve => setTimeout(resolve, 20));
        assert.equal(put.mock.callCount(), 0);
        finishPreparing();
        await holding;
        assert.equal(put.mock.callCount(), 1);
        controller.abort();
    });
});

// A runner was down until the job on its disk had been run and removed. Nothing told the job from one that was never
// stored, so it was written again, its items were given up, and a reader saw other results at the first positions.
test("a held job that was stored and removed since is not written again, and its file is removed", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const service = new MemoryKeyValueService({ clock });
        const first = new AbortController();
        service.faults.outage = true;
        const { held } = start({ folder, service, clock, signal: first.signal });
        await settle(clock);
        await held.hold(job);
        first.abort();
        await settle(clock);
        service.faults.outage = false;
        const { compares, operations } = planJobWrite(job, undefined);
        await service.transact(compares, operations);
        const { revision } = await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("a") }]);
        const table = new JobTable();
        table.apply(await service.list(jobKeys.jobsPrefix));
        table.get(job.record.jobId)!.isCancelled = true;
        const fence = { key: "leader", modRevision: revision };
        const cleanup = new JobCleanup({
            clock,
            service,
            logger: silentLogger,
            leadership: { isLeading: () => true, fence: () => fence, stepDown: () => undefined },
            table,
            resultRetentionMs: () => RESULT_RETENTION_MS,
        });
        await clock.advance(RESULT_RETENTION_MS + CLOCK_MARGIN_MS + 1);
        await cleanup.run();
        assert.equal(await service.get(jobKeys.record(job.record.jobId)), undefined);

        const second = new AbortController();
        const restarted = start({ folder, service, clock, signal: second.signal });
        await settleUntil(clock, () => restarted.seen.length > 0 && restarted.held.count === 0);
        second.abort();
        assert.equal(restarted.seen.length, 1);
        assert.equal(restarted.held.count, 0);
        assert.equal(await service.get(jobKeys.record(job.record.jobId)), undefined);
    });
});

// The caller was promised the results of a job that only disks hold, however long the key-value service was unavailable.
test("a held job that was never stored is written even after its retention time", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const service = new MemoryKeyValueService({ clock });
        service.faults.outage = true;
        const controller = new AbortController();
        const { held } = start({ folder, service, clock, signal: controller.signal });
        await settle(clock);
        await held.hold(job);
        await clock.advance(RESULT_RETENTION_MS);
        service.faults.outage = false;
        await settleUntil(clock, () => held.count === 0);
        controller.abort();
        assert.notEqual(await service.get(jobKeys.record(job.record.jobId)), undefined);
    });
});

// Tombstones are kept for a day. Without one, a removed job can't be told from one that was never stored.
test("a held job whose tombstone may have been removed already is dropped", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const service = new MemoryKeyValueService({ clock });
        await clock.advance(TOMBSTONE_RETENTION_MS);
        const controller = new AbortController();
        const { held } = start({ folder, service, clock, signal: controller.signal });
        await settle(clock);
        await held.hold(job);
        await settleUntil(clock, () => held.count === 0);
        controller.abort();
        assert.equal(held.count, 0);
        assert.equal(await service.get(jobKeys.record(job.record.jobId)), undefined);
    });
});

// A runner answered a new leader while a job that the earlier leader had approved was still being written to its disk. The
// job was accepted then, and missing from what the new leader counts.
test("a runner tells a new leader also of jobs that are just being written to its disk", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const service = new MemoryKeyValueService({ clock });
        const controller = new AbortController();
        const segments = new FolderSegmentStore({ dataFolder: folder });
        const { held } = start({ folder, service, clock, signal: controller.signal, segments });
        await settleUntil(clock, () => held.isLoaded);
        service.faults.outage = true;
        const put = segments.put.bind(segments);
        let finishWriting: () => void = () => undefined;
        const written = new Promise<void>(resolve => {
            finishWriting = resolve;
        });
        mock.method(segments, "put", async (bytes: Uint8Array) => {
            await written;
            return put(bytes);
        });
        const holding = held.hold(job);
        const collecting = held.collect();
        await settle(clock);
        finishWriting();
        await holding;
        controller.abort();
        assert.deepEqual((await collecting).map(({ record }) => record.jobId), [job.record.jobId]);
    });
});

// The runner went on acknowledging jobs after it had given up writing them.
test("a runner whose disk can't be listed at its start acknowledges no job", async () => {
    await withFolder(async folder => {
        const clock = new ManualClock();
        const segments = new FolderSegmentStore({ dataFolder: folder });
        mock.method(segments, "list", () => Promise.reject(new Error("The folder can't be read")));
        const held = new HeldJobs({
            segments,
            service: new MemoryKeyValueService({ clock }),
            clock,
            random: new SeededRandom(1),
            logger: silentLogger,
            onHeld: () => undefined,
            isLeading: () => true,
        });
        await assert.rejects(held.run(new AbortController().signal));
        await assert.rejects(held.hold(job));
    });
});

// The first job that couldn't be written ended each round, so that those behind it stayed on disks for good.
test("a job that can't be written, for whatever reason, doesn't hold up the others", async () => {
    for (const failure of ["rejected", "answer lost"]) {
        await withFolder(async folder => {
            const clock = new ManualClock();
            const service = new RejectingKeyValueService({ clock });
            service.faults.outage = true;
            const controller = new AbortController();
            const { held } = start({ folder, service, clock, signal: controller.signal });
            await settle(clock);
            const ids = ["j1", "j2", "j3", "j4"];
            for (const id of ids) {
                const record = createJobRecord({ id, itemCount: 1 });
                await held.hold({ record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined });
            }
            const isOfBadJob = (key: string) => key === jobKeys.record("j2" as JobId);
            service.isRejected = ({ key }) => isOfBadJob(key) && failure === "rejected";
            const transact = service.transact.bind(service);
            mock.method(
                service,
                "transact",
                (...[compares, operations]: Parameters<typeof transact>) =>
                    failure === "answer lost" && operations.some(({ key }) => isOfBadJob(key))
                        ? Promise.reject(answerLostError("The stand-in never answers this write"))
                        : transact(compares, operations),
            );
            service.faults.outage = false;
            await settleUntil(clock, () => held.count === 1);
            assert.deepEqual(held.all().map(({ record }) => record.jobId), ["j2"], failure);
            const stored = (await service.list(jobKeys.jobsPrefix)).map(({ key }) => key);
            assert.deepEqual(stored, ["j1", "j3", "j4"].map(id => jobKeys.record(id as JobId)));

            service.isRejected = () => false;
            mock.restoreAll();
            await settleUntil(clock, () => held.count === 0);
            assert.equal(held.count, 0, "it is still held, and written once that is possible");
            controller.abort();
        });
    }
});
