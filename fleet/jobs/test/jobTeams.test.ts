import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ItemRun } from "../src/itemRun.js";
import { JobAcceptor } from "../src/jobAcceptor.js";
import type { JobCaller } from "../src/jobCaller.js";
import { jobKeys } from "../src/jobKeys.js";
import { JobReader } from "../src/jobReader.js";
import type { JobRecord } from "../src/jobRecord.js";
import { JobTable } from "../src/jobTable.js";
import { OpenJob } from "../src/openJob.js";
import { releaseWaitingTokens } from "../src/releaseWaitingTokens.js";
import { StoredJobReader } from "../src/storedJobReader.js";
import { callHeaders } from "./callHeaders.js";
import { createJobRecord } from "./createJobRecord.js";

const [RED, BLUE] = [{ team: "red" as TeamId }, { team: "blue" as TeamId }];
const route = { name: "r", host: "h", prefix: "/p/", kind: "batch", maxAttempts: 3, maxWaitingTokens: 100 } as Route;

function setUp() {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const acceptor = new JobAcceptor({
        service,
        clock,
        logger: silentLogger,
        holder: { hold: () => Promise.resolve("not-held") },
        areHeldJobsWritten: () => true,
        isKnownToLeader: () => Promise.resolve(false),
        isTokenCountComplete: () => true,
    });
    const submit = async (id: string, caller?: JobCaller, tokens = 60) => {
        const item = { id: `${id}-0` as ItemId, path: "/p/", headers: [], body: Buffer.from("b"), tokens };
        const callerField = caller === undefined ? {} : { caller };
        const pending = acceptor.accept(route, { jobId: id as JobId, items: [item], ...callerField });
        await clock.advance(10_000);
        const acceptance = await pending;
        return acceptance.kind === "refused" ? acceptance.reason : acceptance.kind;
    };
    const table = new JobTable();
    const leader = new JobReader({
        clock,
        service,
        table,
        currentFencingNumber: () => 1,
        reachableSinceMs: () => -Infinity,
        knowsHeldJobs: () => true,
        collectHeldJobs: () => Promise.resolve(true),
        apply: entries => table.apply(entries),
    });
    return { service, acceptor, submit, leader, stored: new StoredJobReader({ service }) };
}

// With one count for a route, a team that submits much would take the place of all others.
test("each team has the whole limit of a route, and a released job makes room for its own team only", async () => {
    const { service, submit } = setUp();
    assert.equal(await submit("a", RED), "accepted");
    assert.equal(await submit("b", BLUE), "accepted");
    assert.equal(await submit("c", RED), "over-limit");
    assert.equal(await submit("d"), "accepted", "callers without a team have a count of their own");
    await releaseWaitingTokens(service, { routeName: "r", ...BLUE }, ["b" as JobId]);
    assert.equal(await submit("c", RED), "over-limit");
    assert.equal(await submit("e", BLUE), "accepted");
});

// Data of the earlier version must stay readable, and its count valid.
test("a job without a team is stored and counted as before there were teams", async () => {
    const { service, submit } = setUp();
    await submit("a");
    const record = decodeRecord<JobRecord>((await service.get(jobKeys.record("a" as JobId)))!.value);
    assert.equal("team" in record, false);
    const count = await service.get("knapweed/waiting-tokens/r");
    assert.deepEqual(decodeRecord(count!.value), { jobs: [{ jobId: "a", tokens: 60 }] });
});

test("a team name can't make two counts share a key", () => {
    const key = (routeName: string, team: string) => jobKeys.waitingTokens(routeName, team as TeamId);
    assert.notEqual(key("b/r", "a"), key("r", "a/b"));
    assert.notEqual(jobKeys.waitingTokens("r"), key("r", ""));
});

// The second team would have been told that its job is accepted, and it would never have run.
test("a job id that another team has taken is refused, also after the job's removal", async () => {
    const { service, submit } = setUp();
    assert.equal(await submit("a", RED, 10), "accepted");
    assert.equal(await submit("a", RED, 10), "accepted");
    assert.equal(await submit("a", BLUE, 10), "id-taken");
    const value = Buffer.from(JSON.stringify({ removedAtMs: 1, ...RED }));
    await service.transact([], [{ kind: "put", key: jobKeys.tombstone("b" as JobId), value }]);
    assert.deepEqual([await submit("b", BLUE, 10), await submit("b", RED, 10)], ["id-taken", "accepted"]);
});

test("only the team of a job reads and cancels it, at the leader and from the key-value service", async () => {
    const { acceptor, submit, leader, stored } = setUp();
    await submit("a", RED);
    await submit("old");
    const { signal } = new AbortController();
    const canRead = async (id: string, caller?: JobCaller) => {
        const of = { jobId: id as JobId, ...caller === undefined ? {} : { caller } };
        const reads = await Promise.all([
            leader.results({ ...of, after: 0, waitMs: 0, signal }),
            stored.results({ ...of, after: 0 }),
            leader.itemBody({ ...of, itemId: `${id}-0` as ItemId }),
            stored.itemBody({ ...of, itemId: `${id}-0` as ItemId }),
        ]);
        return reads.map(read => read !== undefined);
    };
    const [all, none] = [[true, true, true, true], [false, false, false, false]];
    assert.deepEqual(await canRead("a", RED), all);
    assert.deepEqual(await canRead("a", BLUE), none);
    assert.deepEqual(await canRead("a", {}), none, "a caller on an anonymous route");
    assert.deepEqual(await canRead("a"), all, "a configuration without teams");
    assert.deepEqual(await canRead("old", BLUE), all, "a job from before there were teams");
    assert.equal(await acceptor.cancel("a" as JobId, BLUE), undefined);
    assert.notEqual(await acceptor.cancel("a" as JobId, RED), undefined);
});

test("an item runs with the team of its job, which its own headers can't set", () => {
    const [item] = new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items;
    item!.record.headers.push({ name: "T", value: "forged" }, { name: "K", value: "secret" }, {
        name: "o",
        value: "1",
    });
    const headersFor = (caller: JobCaller | undefined) => {
        let sent: ExchangeRequest | undefined;
        const connections = {
            send: (_upstream: Upstream, request: ExchangeRequest) => {
                sent = request;
                return { abort: () => undefined };
            },
        } as unknown as UpstreamConnections;
        const run = new ItemRun({
            clock: new ManualClock(),
            headers: callHeaders,
            item: item!,
            upstream: { id: "u" } as never,
            onLeaving: () => undefined,
            onEnded: () => undefined,
        });
        run.start(connections, { host: "h", body: Buffer.alloc(0), caller });
        const names = sent!.headers.filter((_, index) => index % 2 === 0).map(name => String(name).toLowerCase());
        return names.flatMap((name, index) => ["t", "k", "o"].includes(name) ? [sent!.headers[index * 2 + 1]] : []);
    };
    assert.deepEqual(headersFor(RED), ["1", "red"]);
    assert.deepEqual(headersFor({}), ["1"]);
    assert.deepEqual(headersFor(undefined), ["forged", "secret", "1"], "unchanged without teams");
});
