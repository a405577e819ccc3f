import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { JobRecord } from "@knapweedwood/batch.jobs/jobRecord";
import { JobRetention } from "@knapweedwood/batch.owner/jobRetention";
import { SegmentScan } from "@knapweedwood/batch.owner/segmentScan";
import { partitionKeys } from "@knapweedwood/batch.ownership/partitionKeys";
import type { PartitionRecord } from "@knapweedwood/batch.ownership/partitionRecord";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultSimulationOptions } from "../src/defaultSimulationOptions.js";
import { Fleet } from "../src/fleet.js";

const teamId = "team-a" as TeamId;
const endpoint = "/v1/chat/completions";
const partitionIds = ["0", "1"] as PartitionId[];
const MINUTE_MS = 60_000;

async function startFleet(seed: number): Promise<Fleet> {
    const fleet = new Fleet({ seed, options: defaultSimulationOptions });
    await fleet.advance(5000);
    return fleet;
}

async function submit(fleet: Fleet, itemCount: number): Promise<JobRecord> {
    const { batchService } = fleet.entries[0];
    const lines = Array.from(
        { length: itemCount },
        (_, index) =>
            `${
                JSON.stringify({
                    custom_id: `c${index}`,
                    method: "POST",
                    url: endpoint,
                    body: { model: "demo", index },
                })
            }\n`,
    );
    const content = async function*() {
        yield Buffer.from(lines.join(""));
    };
    const file = await batchService.createFile({ teamId, fileName: "a", purpose: "batch", content: content() });
    return await batchService.createJob({
        teamId,
        inputFileId: file.fileId,
        endpoint,
        metadata: {},
        idempotencyKey: file.fileId as string as IdempotencyKey,
        dueMs: 60 * MINUTE_MS,
    });
}

async function runToEnd(fleet: Fleet, job: JobRecord): Promise<JobRecord> {
    for (let step = 0; step < 600; step++) {
        await fleet.advance(2000);
        const entry = fleet.availableEntry(0);
        const current = await entry?.batchService.getJob({ teamId, jobId: job.jobId });
        if (current?.state === "completed") {
            return current;
        }
    }
    throw new Error("the job did not complete within 600 steps of 2 s");
}

const readOwners = (fleet: Fleet) =>
    Promise.all(
        partitionIds.map(partitionId =>
            readRecord<PartitionRecord>(fleet.platform.keyValue, partitionKeys.owner("batch", partitionId))
        ),
    );

test("the partitions of a crashed entry have a new owner within 5 s of simulated time", async () => {
    for (const seed of [1, 2, 3, 4, 5]) {
        const fleet = await startFleet(seed);
        const [record] = await readOwners(fleet);
        const ownerIndex = fleet.entries.findIndex(entry => entry.instanceId === record?.value.instanceId);
        fleet.entries[ownerIndex].crash();
        await fleet.advance(5000);
        const owners = (await readOwners(fleet)).map(owner => owner?.value.instanceId);
        const live = fleet.entries.filter(entry => !entry.lifecycle.dead).map(entry => entry.instanceId);
        owners.forEach(owner => assert.ok(owner !== undefined && live.includes(owner), `seed ${seed}: ${owner}`));
    }
});

const plannedStopSeeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

const runPlannedStop = async (seed: number) => {
    const fleet = await startFleet(seed);
    const job = await submit(fleet, 200);
    await fleet.advance(4000);
    const [record] = await readOwners(fleet);
    const ownerIndex = fleet.entries.findIndex(entry => entry.instanceId === record?.value.instanceId);
    await fleet.runUntilSettled(fleet.stopEntry(ownerIndex));
    const ended = await runToEnd(fleet, job);
    assert.deepEqual(ended.itemCounts, { total: 200, completed: 200, failed: 0 });
    assert.equal(fleet.platform.upstreams.allExecutions().length, 200, `seed ${seed}`);
};

test("a planned stop hands the partitions over, and no item runs again", async () => {
    for (const seed of plannedStopSeeds) {
        await runPlannedStop(seed);
    }
});

const outageCases = [
    { name: "an outage of 30 minutes loses no result and reruns no item", seed: 7 },
    { name: "an outage of 30 minutes reruns no item, seed 1", seed: 1 },
    { name: "an outage of 30 minutes reruns no item, seed 5", seed: 5 },
];

outageCases.forEach(({ name, seed }) => {
    test(name, async () => {
        const fleet = await startFleet(seed);
        const job = await submit(fleet, 400);
        await fleet.advance(5000);
        fleet.platform.keyValue.faults.outage = true;
        const before = fleet.platform.upstreams.allExecutions().length;
        await fleet.advance(30 * MINUTE_MS);
        const during = fleet.platform.upstreams.allExecutions().length;
        assert.ok(during > before, "accepted jobs continue during the outage");
        fleet.platform.keyValue.faults.outage = false;
        const callsBefore = fleet.platform.keyValue.counters.reads + fleet.platform.keyValue.counters.writes;
        await fleet.advance(1000);
        const calls = fleet.platform.keyValue.counters.reads + fleet.platform.keyValue.counters.writes - callsBefore;
        assert.ok(calls <= 100, `${calls} calls in the first second`);
        const ended = await runToEnd(fleet, job);
        assert.deepEqual(ended.itemCounts, { total: 400, completed: 400, failed: 0 });
        assert.equal(fleet.platform.upstreams.allExecutions().length, 400);
    });
});

test("the segment scan restores the copies of a lost data folder", async () => {
    const fleet = await startFleet(8);
    const ended = await runToEnd(fleet, await submit(fleet, 50));
    assert.ok(ended.outputFileId);
    fleet.dataFolders[0].clear();
    const { keyValue, clock } = fleet.platform;
    const scan = new SegmentScan({
        keyValue,
        clock,
        segmentStore: fleet.entries[1].segmentStore,
        partitionCount: 2,
        isOwned: () => true,
        logger: silentLogger,
        metrics: silentMetrics,
    });
    const report = await fleet.runUntilSettled(scan.run());
    assert.ok(report.checkedCount > 0);
    assert.deepEqual([report.singleCopy, report.lost], [[], []]);
    fleet.dataFolders[1].clear();
    const chunks: Uint8Array[] = [];
    const file = fleet.entries[2].batchService.readFile({ teamId, fileId: ended.outputFileId });
    await fleet.runUntilSettled((async () => {
        for await (const chunk of file) {
            chunks.push(chunk);
        }
    })());
    assert.equal(Buffer.concat(chunks).toString().trimEnd().split("\n").length, 50);
});

test("retention removes whole jobs, and no running job", async () => {
    const fleet = await startFleet(9);
    const ended = await runToEnd(fleet, await submit(fleet, 20));
    const running = await submit(fleet, 300);
    const { keyValue, clock } = fleet.platform;
    const retention = new JobRetention({ keyValue, clock, partitionCount: 2, retentionMs: 0, isOwned: () => true });
    assert.equal(await fleet.runUntilSettled(retention.run()), 1);
    const { batchService } = fleet.entries[1];
    await assert.rejects(batchService.getJob({ teamId, jobId: ended.jobId }), { code: "ERR_KNAPWEED_JOB_NOT_FOUND" });
    assert.equal((await batchService.getJob({ teamId, jobId: running.jobId })).jobId, running.jobId);
    const remainingEntries = await keyValue.list("/batch/");
    assert.deepEqual(remainingEntries.filter(entry => entry.key.includes(ended.jobId)), []);
});

test("the checkpoints of a job grow with the logarithm of its running time, not with its item count", async () => {
    const jobs: { checkpointCount: number; durationSeconds: number; }[] = [];
    for (const itemCount of [2000, 4000]) {
        const fleet = await startFleet(10);
        const ended = await runToEnd(fleet, await submit(fleet, itemCount));
        const progress = await readRecord<JobProgress>(fleet.platform.keyValue, batchKeys.progress(ended.jobId));
        const durationSeconds = ((ended.finishedAtMs ?? 0) - ended.createdAtMs) / 1000;
        jobs.push({ checkpointCount: progress?.value.checkpointCount ?? Number.NaN, durationSeconds });
    }
    const checkpointBound = (seconds: number) => 32 + 16 + 16 * Math.log(Math.max(1, seconds / 32));
    jobs.forEach(job => assert.ok(job.checkpointCount <= checkpointBound(job.durationSeconds), JSON.stringify(jobs)));
    const allowedGrowth = 16 * Math.log(jobs[1].durationSeconds / jobs[0].durationSeconds);
    assert.ok(jobs[1].checkpointCount - jobs[0].checkpointCount <= allowedGrowth + 4, JSON.stringify(jobs));
});
