// Items were never sent to upstreams of one slot, as the last slot of each upstream was reserved for online requests, also while
// there were none (review/14).
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import fc from "fast-check";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { BatchCandidate } from "../src/batchCandidate.js";
import { BatchSlots } from "../src/batchSlots.js";
import { findItemSlots } from "../src/findItemSlots.js";
import { OpenJob } from "../src/openJob.js";
import { createJobRecord } from "./createJobRecord.js";
import { createTestRunner } from "./createTestRunner.js";
import { runnerTestLoad } from "./runnerTestLoad.js";

const SERVICE = "s" as ServiceName;
const PERIOD_MS = 500;
const EVENT_MS = 20;
const EVENTS = 5;

function candidateOf(id: string, load: { slots: number; online?: number; batch?: number; }): BatchCandidate {
    const upstream = { id: id as UpstreamId, service: SERVICE, slots: load.slots } as Upstream;
    return { upstream, online: load.online ?? 0, batch: load.batch ?? 0 };
}

/** Starts as many items as there are slots for, and returns how many. */
function fill(candidates: BatchCandidate[]): number {
    const slots = new BatchSlots({
        upstreamsOf: () => candidates.map(({ upstream }) => upstream),
        candidateOf: upstream => candidates.find(candidate => candidate.upstream === upstream),
    });
    const [item] = new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items;
    const takeOne = () => {
        const chosen = slots.take(SERVICE, item!, false);
        const candidate = candidates.find(({ upstream }) => upstream === chosen);
        if (candidate !== undefined) {
            candidate.batch += 1;
        }
        return candidate !== undefined;
    };
    return Array.from({ length: 100 }, takeOne).filter(isTaken => isTaken).length;
}

test("items take all slots of upstreams with one slot each but the last of the service", () => {
    const upstreams = (...online: number[]) =>
        online.map((count, index) => candidateOf(`u-${index}`, { slots: 1, online: count }));
    assert.equal(fill(upstreams(0, 0, 0)), 2);
    assert.equal(fill(upstreams(1, 1, 0, 0, 0, 0)), 3);
    assert.equal(fill([candidateOf("large", { slots: 8, online: 8 }), ...upstreams(0, 0)]), 1);
    assert.equal(fill([candidateOf("large", { slots: 8, online: 7 }), ...upstreams(0, 0)]), 2);
});

test("where only reserved slots are idle, one item of the service is lent one", () => {
    [
        [candidateOf("only", { slots: 1 })],
        [candidateOf("held", { slots: 1, online: 1 }), candidateOf("idle", { slots: 1 })],
        [candidateOf("half", { slots: 2, online: 1 })],
    ].forEach(candidates => {
        assert.ok(findItemSlots(candidates).every(({ isLent }) => isLent));
        assert.equal(fill(candidates), 1);
    });
    assert.deepEqual(findItemSlots([candidateOf("busy", { slots: 1, online: 1 })]), []);
    assert.deepEqual(findItemSlots([candidateOf("shared", { slots: 2, batch: 1 })]), [], "another item runs");
});

test("upstreams with more slots keep one idle each while items run", () => {
    const load = fc.record({ slots: fc.integer({ min: 2, max: 9 }), online: fc.nat(9), batch: fc.nat(9) });
    fc.assert(fc.property(fc.array(load), loads => {
        const candidates = loads.map((one, index) => candidateOf(`u-${index}`, one));
        const shared = findItemSlots(candidates).filter(({ isLent }) => !isLent);
        const expected = loads.map(({ slots, online, batch }) => Math.max(0, slots - 1 - online - batch));
        assert.deepEqual(
            candidates.map(({ upstream }) =>
                shared.find(({ candidate }) => candidate.upstream === upstream)?.count ?? 0
            ),
            expected,
        );
    }));
});

/** Returns connections to upstreams that write an event each 20 ms, and the number of runs that were sent. */
function createConnections(advance: { at: (delayMs: number, action: () => void) => void; }) {
    const connections = new UpstreamConnections();
    const sent = { count: 0, resumed: 0 };
    const send = (_upstream: unknown, request: { headers: string[]; }, handler: ExchangeHandler) => {
        sent.count += 1;
        const resumedAfter = Number(request.headers[request.headers.indexOf("l") + 1] ?? 0) || 0;
        sent.resumed += resumedAfter > 0 ? 1 : 0;
        let isAborted = false;
        const writeNext = (event: number) =>
            advance.at(EVENT_MS, () => {
                if (isAborted) {
                    return;
                }
                if (event > EVENTS) {
                    handler.onEnd("length");
                    return;
                }
                handler.onData(Buffer.from(`id: ${event}\ndata: ${event}\n\n`));
                writeNext(event + 1);
            });
        handler.onHead({ statusCode: 200, headers: [], header: name => name === "p" ? "yes" : undefined });
        writeNext(resumedAfter + 1);
        return {
            abort: () => {
                isAborted = true;
            },
            pause: () => undefined,
            resume: () => undefined,
        };
    };
    mock.method(connections, "send", send);
    return { connections, sent };
}

test("the items of a service with a single slot are all done, also beside a call every half second", async () => {
    const timers: { at: (delayMs: number, action: () => void) => void; } = { at: () => undefined };
    const { connections, sent } = createConnections(timers);
    const { clock, runner, loadTracker, finishedResults } = await createTestRunner({
        busySlots: 1,
        jobs: 1,
        makeBad: () => undefined,
        connections,
        upstreams: { count: 1, slots: 1 },
    });
    timers.at = (delayMs, action) => void clock.setTimer(delayMs, action);
    const [id] = runnerTestLoad.upstreamIds;
    for (let call = 0; call < 30; call += 1) {
        loadTracker.count(id!, "online", -1);
        runner.requestDispatch();
        await clock.advance(PERIOD_MS / 2 - call * 4);
        loadTracker.count(id!, "online", 1);
        runner.requestDispatch();
        await clock.advance(10);
        assert.equal(loadTracker.batchCount(id!), 0, "an item gives way to a call");
        await clock.advance(PERIOD_MS / 2);
    }
    assert.equal((await finishedResults()).length, runnerTestLoad.itemsPerJob);
    assert.ok(sent.resumed > 0, "a displaced item goes on where it was");
    runner.stop();
});

test("an item isn't sent to a lent slot that an online request takes within the notice", async () => {
    const { connections, sent } = createConnections({ at: () => undefined });
    const { clock, runner, loadTracker } = await createTestRunner({
        busySlots: 1,
        jobs: 1,
        makeBad: () => undefined,
        connections,
        upstreams: { count: 1, slots: 1 },
    });
    const [id] = runnerTestLoad.upstreamIds;
    for (let call = 0; call < 10; call += 1) {
        loadTracker.count(id!, "online", -1);
        runner.requestDispatch();
        await clock.advance(30);
        assert.equal(loadTracker.batchCount(id!), 1, "the slot is reported as taken");
        loadTracker.count(id!, "online", 1);
        runner.requestDispatch();
        await clock.advance(30);
    }
    assert.equal(sent.count, 0);
    runner.stop();
});
