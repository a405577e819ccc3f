import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { JobItemRecord } from "../src/jobItemRecord.js";
import { createTestRunner } from "./createTestRunner.js";
import { runnerTestLoad } from "./runnerTestLoad.js";

/** From the rule: a part that has ended five upstreams may reach three more. */
const MAX_RUNS_AFTER_CRASHES = 3;
/** From the rule: a request that has ended three upstreams may reach three more. */
const MAX_RUNS_OF_REQUEST = 6;
const BAD_PATH = "/p/bad/";
const BAD_PART = "bad";
const BROKEN_OFF_PATH = "/p/broken-off/";
const BROKEN_OFF_ITEM = "job-0-1";
const CONVICTING_CRASHES = 3;
/** From the rule: runs of a request that begin later than this after the third crash. */
const CONTACT_MS = 5000;
const MAX_LATER_RUNS = 3;
const RUN_MS = 100;
const DUE_WITHIN_MS = 18_000;

/** Gives one item the path of requests that are broken off. */
function breakOffOne(item: JobItemRecord): void {
    item.path = item.id === BROKEN_OFF_ITEM ? BROKEN_OFF_PATH : item.path;
}

function breakOff(handler: ExchangeHandler): void {
    handler.onFailure({ mayHaveRun: true, isUnreachable: false, isConnectionBroken: true, code: "ECONNRESET" });
}

function complete(handler: ExchangeHandler): void {
    handler.onHead({ statusCode: 200, headers: [], header: name => name === "p" ? "proof" : undefined });
    handler.onData(Buffer.from("id: 1\ndata: a\n\n"));
    handler.onEnd("length");
}

// An interrupted run doesn't count as a failure of its item, so an item that crashes upstreams went on and on.
test("items with a prompt part that crashes upstreams are not sent to one upstream after another", async () => {
    let runs = 0;
    const connections = new UpstreamConnections();
    mock.method(connections, "send", (_upstream: unknown, request: ExchangeRequest, handler: ExchangeHandler) => {
        const isBad = request.headers.includes(BAD_PART);
        runs += isBad ? 1 : 0;
        setImmediate(() => isBad ? breakOff(handler) : complete(handler));
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    });
    const { clock, runner } = await createTestRunner({ busySlots: runnerTestLoad.slots - 2, jobs: 1, connections });
    await clock.advance(2000);
    const runsBefore = runs;
    await clock.advance(20_000);
    assert.ok(runs - runsBefore <= MAX_RUNS_AFTER_CRASHES, `${runs - runsBefore} more runs`);
    runner.stop();
});

// The same for an item that has no prompt part in common with others.
test("an item that crashes upstreams is not sent to one upstream after another", async () => {
    const runs = new Map<string, number>();
    const connections = new UpstreamConnections();
    mock.method(connections, "send", (_upstream: unknown, request: ExchangeRequest, handler: ExchangeHandler) => {
        const isBad = request.path.startsWith(BAD_PATH);
        runs.set(request.path, (runs.get(request.path) ?? 0) + 1);
        setImmediate(() => isBad ? breakOff(handler) : complete(handler));
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    });
    const makeBad = (item: JobItemRecord) => {
        item.path = `${BAD_PATH}${item.id}`;
    };
    const { clock, runner, finishedResults } = await createTestRunner({
        busySlots: runnerTestLoad.slots - 2,
        jobs: 1,
        connections,
        makeBad,
    });
    await clock.advance(20_000);
    const badRuns = [...runs].filter(([path]) => path.startsWith(BAD_PATH)).map(([, count]) => count);
    assert.equal(badRuns.length, runnerTestLoad.itemsPerJob / 2);
    assert.ok(Math.max(...badRuns) <= MAX_RUNS_OF_REQUEST, `${badRuns.join(", ")} runs`);
    assert.equal((await finishedResults()).length, runnerTestLoad.itemsPerJob / 2, "the sound items are finished");
    runner.stop();
});

// The same until the job expires, with the runs that test whether the item still crashes upstreams.
test("an item that crashes upstreams reaches a bounded number of them before its job expires", async () => {
    const clock = new ManualClock();
    const runsAtMs: number[] = [];
    const crashing = new Map<UpstreamId, number>();
    const connections = new UpstreamConnections();
    mock.method(connections, "send", ({ id }: Upstream, request: ExchangeRequest, handler: ExchangeHandler) => {
        const isBad = request.path === BROKEN_OFF_PATH;
        if (isBad) {
            runsAtMs.push(clock.nowMs());
            crashing.set(id, crashing.get(id) ?? clock.nowMs());
        }
        setImmediate(() => isBad ? breakOff(handler) : complete(handler));
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    });
    const { runner } = await createTestRunner({
        busySlots: runnerTestLoad.slots - 2,
        jobs: 1,
        connections,
        makeBad: breakOffOne,
        clock,
    });
    await clock.advance(runnerTestLoad.expiresAtMs * 2);
    const countedFromMs = [...crashing.values()][CONVICTING_CRASHES - 1]! + CONTACT_MS;
    const later = runsAtMs.filter(atMs => atMs > countedFromMs);
    assert.ok(later.length <= MAX_LATER_RUNS, `${later.length} runs`);
    runner.stop();
});

// Nothing else ran at the upstreams that could have shown that they live, and the job was due before the next test.
test("an item that three upstreams broke off runs again before its job is due, though nothing else runs", async () => {
    const breaking = new Set<UpstreamId>();
    const connections = new UpstreamConnections();
    mock.method(connections, "send", ({ id }: Upstream, request: ExchangeRequest, handler: ExchangeHandler) => {
        const isBrokenOff = request.path === BROKEN_OFF_PATH && breaking.size < CONVICTING_CRASHES;
        if (isBrokenOff) {
            breaking.add(id);
        }
        setImmediate(() => isBrokenOff ? breakOff(handler) : complete(handler));
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    });
    const { clock, runner, finishedResults } = await createTestRunner({
        busySlots: runnerTestLoad.slots - 2,
        jobs: 1,
        connections,
        makeBad: breakOffOne,
    });
    await clock.advance(DUE_WITHIN_MS);
    assert.equal(breaking.size, CONVICTING_CRASHES);
    assert.equal((await finishedResults()).length, runnerTestLoad.itemsPerJob);
    runner.stop();
});

// A sound item whose runs three upstreams broke off stayed quarantined while slots were free, until its callers gave up.
test("an item that three living upstreams broke off is finished with the others", async () => {
    const breaking = new Set<UpstreamId>();
    const clock = new ManualClock();
    const connections = new UpstreamConnections();
    mock.method(connections, "send", ({ id }: Upstream, request: ExchangeRequest, handler: ExchangeHandler) => {
        const isBrokenOff = request.path === BROKEN_OFF_PATH && breaking.size < CONVICTING_CRASHES;
        if (isBrokenOff) {
            breaking.add(id);
        }
        clock.setTimer(RUN_MS, () => isBrokenOff ? breakOff(handler) : complete(handler));
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    });
    const { runner, finishedResults } = await createTestRunner({
        busySlots: runnerTestLoad.slots - 2,
        jobs: runnerTestLoad.jobs,
        connections,
        makeBad: breakOffOne,
        clock,
        areUpstreamsListed: true,
    });
    await clock.advance(
        (runnerTestLoad.jobs * runnerTestLoad.itemsPerJob / runnerTestLoad.upstreamIds.length) * RUN_MS * 2,
    );
    assert.equal(breaking.size, CONVICTING_CRASHES);
    assert.equal((await finishedResults()).length, runnerTestLoad.jobs * runnerTestLoad.itemsPerJob);
    runner.stop();
});
