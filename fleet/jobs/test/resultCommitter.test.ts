import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ItemResult } from "../src/itemResult.js";
import { jobKeys } from "../src/jobKeys.js";
import { OpenJob } from "../src/openJob.js";
import { ResultCommitter } from "../src/resultCommitter.js";
import { createJobRecord } from "./createJobRecord.js";

const LEADER_KEY = "leader";

class TestLeadership implements FencedLeadership {
    currentFence: KeyValueCompare | undefined;
    stepDownCount = 0;

    isLeading(): boolean {
        return this.currentFence !== undefined;
    }

    fence(): KeyValueCompare | undefined {
        return this.currentFence;
    }

    stepDown(): void {
        this.stepDownCount += 1;
        this.currentFence = undefined;
    }
}

async function setUp() {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const leadership = new TestLeadership();
    const gainLeadership = async () => {
        const put = { kind: "put", key: LEADER_KEY, value: Buffer.from(String(Math.random())) } as const;
        const { revision } = await service.transact([], [put]);
        leadership.currentFence = { key: LEADER_KEY, modRevision: revision };
    };
    await gainLeadership();
    const committer = new ResultCommitter({
        service,
        clock,
        logger: silentLogger,
        leadership,
        onResultsStored: () => undefined,
    });
    const job = new OpenJob(createJobRecord({ id: "j", itemCount: 3 }));
    const result = (index: number): ItemResult => ({ itemId: job.items[index]!.id, state: "completed", output: "x" });
    return { clock, service, leadership, gainLeadership, committer, job, result };
}

test("results get positions in the order in which they are added", async () => {
    const { clock, service, committer, job, result } = await setUp();
    [2, 0, 1].forEach(index => committer.add(job, result(index)));
    await clock.advance(1000);
    assert.deepEqual(job.page(0).results.map(({ itemId }) => itemId), ["j-2", "j-0", "j-1"]);
    assert.equal((await service.list(jobKeys.resultsPrefix)).length, 3);
});

test("a write in progress when leadership is lost is not repeated under the next leadership", async () => {
    const { clock, service, committer, job, result, leadership, gainLeadership } = await setUp();
    service.faults.outage = true;
    committer.add(job, result(0));
    await clock.advance(300);
    committer.reset();
    leadership.currentFence = undefined;
    service.faults.outage = false;
    await gainLeadership();
    await clock.advance(3000);
    assert.equal((await service.list(jobKeys.resultsPrefix)).length, 0);
});

test("a position that is already taken makes the leader step down, so that the results are reloaded", async () => {
    const { clock, service, committer, job, result, leadership } = await setUp();
    await service.transact([], [{ kind: "put", key: jobKeys.result(job.record.jobId, 0), value: Buffer.from("{}") }]);
    committer.add(job, result(0));
    await clock.advance(1000);
    assert.equal(leadership.stepDownCount, 1);
    assert.equal(job.resultCount, 0);
});

// Dozens of upstreams finish an item each few milliseconds, and each result was a write of its own.
test("results that come shortly after one another share a write", async () => {
    const { clock, service, committer, job, result } = await setUp();
    for (const index of [0, 1, 2]) {
        committer.add(job, result(index));
        await clock.advance(40);
    }
    await clock.advance(1000);
    assert.equal(job.resultCount, 3);
    const revisions = (await service.list(jobKeys.resultsPrefix)).map(entry => entry.modRevision);
    assert.equal(new Set(revisions).size, 1, `revisions ${revisions.join(" ")}`);
});
