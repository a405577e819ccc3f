import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { ItemResult } from "../src/itemResult.js";
import { jobKeys } from "../src/jobKeys.js";
import { OpenJob } from "../src/openJob.js";
import { ResultCommitter } from "../src/resultCommitter.js";
import { createJobRecord } from "./createJobRecord.js";
import { RejectingKeyValueService } from "./rejectingKeyValueService.js";

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
    const service = new RejectingKeyValueService({ clock });
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
    const storedResults = async () => {
        const entries = await service.list(jobKeys.resultsPrefix);
        return entries.filter(({ key }) => key.includes("/at/"));
    };
    return { clock, service, leadership, gainLeadership, committer, job, result, storedResults };
}

test("results get positions in the order in which they are added", async () => {
    const { clock, committer, job, result, storedResults } = await setUp();
    [2, 0, 1].forEach(index => committer.add(job, result(index)));
    await clock.advance(1000);
    assert.deepEqual(job.page(0).results.map(({ itemId }) => itemId), ["j-2", "j-0", "j-1"]);
    assert.equal((await storedResults()).length, 3);
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

// An item was given up before its stored result was read, and was listed a second time behind the last position.
test("an item that turns out to have a stored result while another waits for its write is not listed again", async () => {
    const { clock, committer, job, result, storedResults } = await setUp();
    committer.add(job, result(0));
    await clock.advance(1000);
    committer.add(job, { ...result(1), state: "given-up" });
    job.addResult(1, result(1));
    committer.add(job, result(2));
    committer.add(job, result(2));
    await clock.advance(1000);
    assert.deepEqual(job.page(0).results.map(({ itemId }) => itemId), ["j-0", "j-1", "j-2"]);
    assert.equal((await storedResults()).length, 2);
});

// Only the first position of a write was compared, so the results of further jobs in it replaced stored ones.
test("a write for several jobs replaces no stored result of any of them", async () => {
    const { clock, service, committer, job, result, leadership, storedResults } = await setUp();
    const stored = { kind: "put", key: jobKeys.result("k" as JobId, 0), value: Buffer.from("stored") } as const;
    await service.transact([], [stored]);
    const unread = new OpenJob(createJobRecord({ id: "k", itemCount: 3 }));
    committer.add(job, result(0));
    committer.add(unread, { itemId: unread.items[0]!.id, state: "given-up", output: "" });
    await clock.advance(1000);
    assert.deepEqual((await storedResults()).map(({ value }) => Buffer.from(value).toString()), ["stored"]);
    assert.equal(leadership.stepDownCount, 1);
});

// The position after the last known one is free where a leader has read fewer results than are stored, or more were added.
test("a leader whose list of results is not the stored one adds none", async () => {
    const { clock, committer, job, result, leadership, storedResults, service } = await setUp();
    committer.add(job, result(0));
    await clock.advance(1000);
    const outdated = new OpenJob(job.record);
    outdated.addResult(0, result(0));
    committer.add(job, result(1));
    await clock.advance(1000);
    const [, second] = await storedResults();
    await service.transact([], [{ kind: "delete", key: second!.key }]);
    committer.add(outdated, { ...result(1), state: "given-up" });
    await clock.advance(1000);
    assert.equal((await storedResults()).length, 1);
    assert.equal(leadership.stepDownCount, 1);
});

// The key-value service refuses a write with more entries, and its results would never be stored.
test("results of many jobs are stored by writes of 32 entries at most", async () => {
    const { clock, service, committer, storedResults } = await setUp();
    const writes = mock.method(service, "transact");
    const jobs = Array.from(
        { length: 40 },
        (_, index) => new OpenJob(createJobRecord({ id: `job-${index}`, itemCount: 40 })),
    );
    for (const round of [0, 1]) {
        jobs.forEach(job => committer.add(job, { itemId: job.items[round]!.id, state: "completed", output: "x" }));
        await clock.advance(1000);
    }
    jobs[0]!.items.slice(2).forEach(({ id }) =>
        committer.add(jobs[0]!, { itemId: id, state: "completed", output: "x" })
    );
    await clock.advance(1000);
    const sizes = writes.mock.calls.map(({ arguments: [compares, operations] }) => compares.length + operations.length);
    assert.ok(Math.max(...sizes) <= 32, `writes of ${sizes.join(" ")} entries`);
    assert.equal((await storedResults()).length, 40 * 2 + 38);
});

// A leader that opened a copy of a removed job from a disk listed the items of the job again. So did a write whose response
// was lost and that arrived again after the removal.
test("no result is written for a job that was removed", async () => {
    const { clock, service, committer, job, result, leadership, storedResults } = await setUp();
    await service.transact([], [{ kind: "put", key: jobKeys.tombstone(job.record.jobId), value: Buffer.from("{}") }]);
    committer.add(job, result(0));
    await clock.advance(1000);
    assert.equal(leadership.stepDownCount, 1);
    assert.deepEqual(await storedResults(), []);
});

// A write of results that the key-value service rejects was repeated without end, and no result of any job was stored.
test("a result that the key-value service rejects is given up, and holds up no others", async () => {
    const { clock, service, committer, job, result, storedResults } = await setUp();
    service.isRejected = operation =>
        operation.kind === "put" && Buffer.from(operation.value).toString().includes("refused");
    committer.add(job, result(0));
    committer.add(job, { ...result(1), output: "refused" });
    committer.add(job, result(2));
    await clock.advance(3000);
    const states = job.page(0).results.map(({ itemId, state }) => [itemId, state]);
    assert.deepEqual(states, [["j-0", "completed"], ["j-1", "given-up"], ["j-2", "completed"]]);
    assert.equal((await storedResults()).length, 3);
});
