// Guards against "no such job" for an accepted job (LOST): it is only held on disks whose machines are down, and some time
// after an outage a gateway, or the leader, took it for certain that all held jobs had been written.
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CoalescedTask } from "../src/coalescedTask.js";
import { JobAcceptor } from "../src/jobAcceptor.js";
import { createJobRecord } from "./createJobRecord.js";
import { createRunnerFleet } from "./createRunnerFleet.js";

/** Time after which held jobs count as written after an outage, with a margin. */
const AFTER_HELD_JOBS_MS = 8000;
const CALL_MS = 2000;
const job = {
    record: createJobRecord({ id: "j", itemCount: 3, dueAtMs: 60_000 }),
    bodies: Buffer.alloc(0),
    maxWaitingTokens: 1000,
};
const { jobId } = job.record;
const NOT_SETTLED = "ERR_KNAPWEED_JOBS_NOT_SETTLED";

/** Three runners, of which the last leads, and a gateway that has seen no outage. */
function createFleet() {
    const fleet = createRunnerFleet();
    const { clock, service, start } = fleet;
    const leader = start(2);
    const { signal } = new AbortController();
    const results = (id: JobId) => leader.runner.reader.results({ jobId: id, after: 0, waitMs: 0, signal });
    const gateway = new JobAcceptor({
        service,
        clock,
        logger: silentLogger,
        holder: { hold: () => Promise.resolve("not-held") },
        areHeldJobsWritten: () => true,
        isKnownToLeader: async id => {
            if (leader.clock.isDead) {
                throw new Error("No runner is known to be the leader");
            }
            return await results(id) !== undefined;
        },
        isTokenCountComplete: () => true,
    });
    /** Returns what a call resolves to, or the code of its error. */
    const outcomeOf = async <Result>(call: Promise<Result>): Promise<Result | string> => {
        const outcome = call.catch((error: { code: string; }) => error.code);
        await clock.advance(CALL_MS);
        return outcome;
    };
    /** Has two runners hold the job during an outage, and ends them before it is over. */
    const loseHolders = async () => {
        const holders = [start(0), start(1)];
        await clock.advance(AFTER_HELD_JOBS_MS);
        service.faults.outage = true;
        await Promise.all(holders.map(({ held }) => held.hold(job)));
        holders.forEach(holder => holder.clock.kill());
        service.faults.outage = false;
        await clock.advance(AFTER_HELD_JOBS_MS);
    };
    return { ...fleet, leader, gateway, results, outcomeOf, loseHolders };
}

test("an accepted job isn't unknown to the leader or a gateway while the runners that hold it are down", async () => {
    const { gateway, start, results, outcomeOf, loseHolders, close, clock } = createFleet();
    await loseHolders();
    const read = await outcomeOf(results(jobId));
    const cancelled = await outcomeOf(gateway.cancel(jobId));
    start(0);
    await clock.advance(AFTER_HELD_JOBS_MS);
    const cancelledLater = await outcomeOf(gateway.cancel(jobId));
    const unknown = await outcomeOf(gateway.cancel("none" as JobId));
    close();
    assert.deepEqual([read, cancelled], [NOT_SETTLED, NOT_SETTLED]);
    assert.equal(typeof cancelledLater, "number", "one holder is back, and has written the job");
    assert.equal(unknown, undefined, "enough runners say that they don't hold it");
});

test("no job is unknown to a gateway while there is no leader", async () => {
    const { gateway, leader, outcomeOf, loseHolders, close } = createFleet();
    await loseHolders();
    leader.clock.kill();
    const cancelled = await outcomeOf(gateway.cancel(jobId));
    close();
    assert.equal(cancelled, NOT_SETTLED);
});

// A collection that had begun before a job was accepted says nothing about that job.
test("each caller of a coalesced task gets the result of a run that began after its call", async () => {
    const ends: ((run: number) => void)[] = [];
    const task = new CoalescedTask(() => new Promise<number>(resolve => ends.push(resolve)));
    const first = task.run();
    const [second, third] = [task.run(), task.run()];
    ends[0]!(1);
    assert.equal(await first, 1);
    await new Promise(setImmediate);
    assert.equal(ends.length, 2);
    ends[1]!(2);
    assert.deepEqual(await Promise.all([second, third]), [2, 2]);
});
