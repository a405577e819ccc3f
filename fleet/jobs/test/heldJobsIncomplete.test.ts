import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { HeldJob } from "../src/heldJob.js";
import { JobAcceptor } from "../src/jobAcceptor.js";
import { createJobRecord } from "./createJobRecord.js";
import { createRunnerFleet } from "./createRunnerFleet.js";

/** Time after which a leader counts all jobs that were held during an outage as written, with a margin. */
const AFTER_HELD_JOBS_MS = 8000;

function createHeldJob(): HeldJob {
    const record = createJobRecord({ id: "j", itemCount: 3, dueAtMs: 60_000 });
    return { record, bodies: Buffer.alloc(0), maxWaitingTokens: 1000 };
}

// All machines lose power just after two runners have held a job, and those two start later than the third. It leads, knows
// that it couldn't collect their held jobs, and yet answered that the job doesn't exist.
test("a leader that couldn't collect the held jobs doesn't say that a job doesn't exist", async () => {
    const { clock, service, start, close } = createRunnerFleet();
    const { signal } = new AbortController();
    const job = createHeldJob();
    const holders = [start(0), start(1)];
    await clock.advance(1000);
    service.faults.outage = true;
    await Promise.all(holders.map(({ held }) => held.hold(job)));
    holders.forEach(holder => holder.clock.kill());
    service.faults.outage = false;
    const leader = start(2);
    await clock.advance(AFTER_HELD_JOBS_MS);
    assert.equal(leader.runner.leaderCount(job.record, new Set()), undefined);
    const read = async () => {
        const reading = leader.runner.reader
            .results({ jobId: job.record.jobId, after: 0, waitMs: 0, signal })
            .catch((error: { code: string; }) => error.code);
        await clock.advance(1000);
        return reading;
    };
    const early = await read();
    start(0);
    await clock.advance(AFTER_HELD_JOBS_MS);
    const late = await read();
    close();
    assert.ok(typeof late === "object" && late.total === 3, "the job exists once a runner that holds it is back");
    assert.equal(early, "ERR_KNAPWEED_JOBS_NOT_SETTLED");
});

// A runner answered with no held jobs while it was still reading its disk after a start. The new leader took its collection
// for complete, and approved jobs beyond the limit of a route.
test("held jobs that a runner hasn't read from its disk yet aren't missing from what the leader counts", async () => {
    const { clock, service, disks, start, close } = createRunnerFleet();
    const job = createHeldJob();
    const holders = [start(0), start(1)];
    await clock.advance(1000);
    service.faults.outage = true;
    await Promise.all(holders.map(({ held }) => held.hold(job)));
    holders.forEach(holder => holder.clock.kill());
    service.faults.outage = false;
    disks.slice(0, 2).forEach(disk => {
        const list = disk.list.bind(disk);
        mock.method(disk, "list", async () => {
            await new Promise<void>(resolve => clock.setTimer(6000, resolve));
            return await list();
        });
    });
    const leader = start(2);
    await clock.advance(3500);
    start(0);
    start(1);
    await clock.advance(2000);
    const count = leader.runner.leaderCount(job.record, new Set());
    close();
    assert.ok(count === undefined || count.waitingTokens === 300, `counts ${count?.waitingTokens} tokens of 300`);
});

// A runner that is to be emptied reports it as done, and its disk is removed, once it holds no job. Before it had read its
// disk after a start, it took itself for empty.
test("a runner doesn't count as empty before it has read its disk", async () => {
    const { clock, service, disks, start, close } = createRunnerFleet();
    const holder = start(0);
    await clock.advance(1000);
    service.faults.outage = true;
    await holder.held.hold(createHeldJob());
    holder.clock.kill();
    const list = disks[0]!.list.bind(disks[0]);
    mock.method(disks[0]!, "list", async () => {
        await new Promise<void>(resolve => clock.setTimer(500, resolve));
        return await list();
    });
    const restarted = start(0);
    await clock.advance(400);
    const early = restarted.held.count;
    await clock.advance(400);
    assert.equal(restarted.held.count, 1);
    close();
    assert.notEqual(early, 0);
});

// The service rejects the two runners that hold a job, and the third one leads. It collects the job and runs it, but only a
// runner with the job on its disk stores it. Meanwhile a gateway answered to a cancellation that there is no such job.
test("a job that the leader runs can be cancelled, also while the runners that hold it can't store it", async () => {
    const { clock, service, start, close } = createRunnerFleet();
    const job = createHeldJob();
    const { jobId } = job.record;
    const holders = [start(0), start(1)];
    await clock.advance(3000);
    holders.forEach(({ connection }) => connection.state = "rejected");
    await Promise.all(holders.map(({ held }) => held.hold(job)));
    const leader = start(2);
    await clock.advance(9000);
    const reading = leader.runner.reader.results({ jobId, after: 0, waitMs: 0, signal: new AbortController().signal });
    await clock.advance(1000);
    assert.equal((await reading)?.total, 3, "the leader runs the job");
    const gateway = new JobAcceptor({
        service,
        clock,
        logger: silentLogger,
        holder: { hold: () => Promise.resolve("not-held") },
        // This gateway has seen no outage.
        areHeldJobsWritten: () => true,
        isKnownToLeader: () => Promise.resolve(false),
        isTokenCountComplete: () => true,
    });
    const cancelling = gateway.cancel(jobId).then(
        revision => revision === undefined ? "no such job" : "cancelled",
        (error: { code: string; }) => error.code,
    );
    await clock.advance(5000);
    const answer = await cancelling;
    close();
    assert.notEqual(answer, "no such job");
});
