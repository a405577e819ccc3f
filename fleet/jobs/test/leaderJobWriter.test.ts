import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HoldAdmission } from "../src/holdAdmission.js";
import { JobHoldHandler } from "../src/jobHoldHandler.js";
import { jobKeys } from "../src/jobKeys.js";
import { LeaderJobWriter } from "../src/leaderJobWriter.js";
import { planJobWrite } from "../src/planJobWrite.js";
import type { WaitingTokens } from "../src/waitingTokens.js";
import { createJobRecord } from "./createJobRecord.js";

const LEADER_KEY = "leader";
/** Each job of `createJob` has 100 tokens an item. */
const MAX_TOKENS = 1000;

function createJob(id: string, itemCount: number, team?: string) {
    const record = createJobRecord({ id, itemCount });
    const teamField = team === undefined ? {} : { team: team as TeamId };
    return { record: { ...record, ...teamField }, bodies: Buffer.alloc(0), maxWaitingTokens: MAX_TOKENS };
}

/** A leader that knows of held jobs with `heldTokens` tokens. */
async function setUp(opts: { held?: { jobId: string; tokens: number; }[]; } = {}) {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const lead = async () => {
        const { revision } = await service.transact([], [{ kind: "put", key: LEADER_KEY, value: Buffer.from("x") }]);
        return { key: LEADER_KEY, modRevision: revision };
    };
    const fence = await lead();
    const writer = new LeaderJobWriter({
        service,
        clock,
        logger: silentLogger,
        fence: () => fence,
        uncountedTokens: (_job, counted) =>
            (opts.held ?? [])
                .filter(({ jobId }) => !counted.has(jobId as JobId))
                .reduce((sum, { tokens }) => sum + tokens, 0),
    });
    const write = async (job: ReturnType<typeof createJob>) => {
        const writing = writer.write(job);
        await clock.advance(2000);
        return writing;
    };
    const countedTokens = async () => {
        const entry = await service.get(jobKeys.waitingTokens("route"));
        const { jobs } = entry === undefined ? { jobs: [] } : decodeRecord<WaitingTokens>(entry.value);
        return jobs.reduce((sum, { tokens }) => sum + tokens, 0);
    };
    return { clock, service, fence, lead, write, countedTokens };
}

// A replaced leader lacks the jobs that its successor holds, and would count too few tokens.
test("a leader that was replaced writes nothing", async () => {
    const { service, lead, write } = await setUp();
    await lead();
    assert.equal(await write(createJob("a", 1)), "not-run");
    assert.deepEqual(await service.list(jobKeys.jobsPrefix), []);
});

test("held jobs that the stored count lacks count, and those that it contains count once", async () => {
    const { service, write } = await setUp({ held: [{ jobId: "held", tokens: 600 }] });
    assert.equal(await write(createJob("a", 5)), "over-limit");
    await service.transact([], planJobWrite(createJob("held", 6), undefined).operations);
    assert.equal(await write(createJob("b", 4)), "stored");
    assert.equal(await write(createJob("c", 1)), "over-limit");
    assert.equal(await write(createJob("b", 4)), "stored", "a job sent again is accepted again");
});

test("a job is stored once after a lost response, and rejected as not run during an outage", async () => {
    const { service, write, countedTokens } = await setUp();
    service.faults.loseNextResponses(2);
    assert.equal(await write(createJob("a", 5)), "stored");
    assert.equal(await countedTokens(), 500);
    service.faults.outage = true;
    assert.equal(await write(createJob("b", 1)), "not-run");
});

// Gateways and the leader write at the same time, each after reading a count that others may replace.
test("concurrent writes stay under the limit, whoever writes first", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(fc.record({ items: fc.integer({ min: 1, max: 6 }), delayMs: fc.nat({ max: 30 }) }), {
                minLength: 2,
                maxLength: 8,
            }),
            fc.nat({ max: 20 }),
            async (jobs, responseDelayMs) => {
                const { clock, service, write, countedTokens } = await setUp();
                service.faults.responseDelayMs = responseDelayMs;
                const pending = jobs.map(({ items, delayMs }, index) =>
                    new Promise<string>(resolve => {
                        clock.setTimer(delayMs, () => void write(createJob(`j-${index}`, items)).then(resolve));
                    })
                );
                await clock.advance(5000);
                const outcomes = await Promise.all(pending);
                service.faults.responseDelayMs = 0;
                const stored = jobs.filter((_, index) => outcomes[index] === "stored");
                const tokens = stored.reduce((sum, { items }) => sum + items * 100, 0);
                assert.ok(tokens <= MAX_TOKENS);
                assert.equal(await countedTokens(), tokens);
            },
        ),
        { seed: 1, numRuns: 100 },
    );
});

test("a job id that another team has taken is not accepted by a leader's write, nor on a disk", async () => {
    const { clock, service, fence, write } = await setUp();
    assert.equal(await write(createJob("a", 1, "red")), "stored");
    assert.equal(await write(createJob("a", 1, "blue")), "not-run");
    const handler = new JobHoldHandler({
        service,
        clock,
        logger: silentLogger,
        admission: new HoldAdmission(),
        held: {
            recordOf: jobId => jobId === "a" ? createJob("a", 1, "red").record : undefined,
            hold: () => Promise.resolve(),
        },
        runner: {
            recordOf: () => undefined,
            leaderCount: () => undefined,
            lacksReportedJob: false,
            onHeld: () => undefined,
        },
        fence: () => fence,
        newestLeader: () => 0,
        reachability: () => ({ isReachable: false, isReachableByPeer: false, lastReachedAtMs: -Infinity }),
        isDraining: () => false,
    });
    const hold = async (team: string, id = "a") =>
        (await handler.handle({ job: { ...createJob(id, 1, team), maxWaitingTokens: undefined } })).outcome;
    assert.deepEqual([await hold("red"), await hold("blue"), await hold("blue", "b")], ["held", "not-held", "held"]);
});
