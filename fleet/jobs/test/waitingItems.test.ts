import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ItemConditions } from "../src/itemConditions.js";
import { OpenJob } from "../src/openJob.js";
import { WaitingItems } from "../src/waitingItems.js";
import { WaitingItemsLog } from "../src/waitingItemsLog.js";
import type { WaitReason } from "../src/waitReason.js";
import { createJobRecord } from "./createJobRecord.js";

const SERVICE = "s" as ServiceName;
const LONG_WAIT_MS = 6000;
const STARTABLE: ItemConditions = {
    serviceOf: () => SERVICE,
    readyUpstreams: () => [{} as Upstream],
    hasWaitingRequest: () => false,
    slotsOf: () => ({ startable: 1, idle: 1, running: 0 }),
    isQuarantined: () => false,
};

function createJob(itemCount: number): OpenJob {
    return new OpenJob(createJobRecord({ id: "j", itemCount }));
}

// Items waited for a minute although slots were free, and no log line said why: a quarantine, an ejection or a missing route.
test("an item that waits for seconds beside free slots is reported with the reason", () => {
    const cases: [Partial<ItemConditions>, WaitReason][] = [
        [{ serviceOf: () => undefined }, "route-missing"],
        [{ readyUpstreams: () => [] }, "no-upstream"],
        [{ hasWaitingRequest: () => true }, "online-requests-wait"],
        [{ slotsOf: () => undefined }, "upstreams-ejected"],
        [{ slotsOf: () => ({ startable: 0, idle: 3, running: 0 }) }, "slots-reserved"],
        [{ isQuarantined: () => true }, "quarantined"],
        [{}, "resumption-awaited"],
    ];
    cases.forEach(([condition, reason]) => {
        const waiting = new WaitingItems({ ...STARTABLE, ...condition });
        const job = createJob(2);
        assert.equal(waiting.review([job], 0), undefined);
        const report = waiting.review([job], LONG_WAIT_MS);
        assert.deepEqual(report?.itemsByReason, { [reason]: 2 });
        assert.deepEqual(report.longest, { jobId: "j", itemId: "j-0", waitMs: LONG_WAIT_MS, reason });
    });
});

// Reserved slots are idle for long under load, which is usual while other items of the service run.
test("items that wait for a reserved slot are reported only while no item of their service runs", () => {
    const waiting = new WaitingItems({ ...STARTABLE, slotsOf: () => ({ startable: 0, idle: 3, running: 1 }) });
    const job = createJob(2);
    waiting.review([job], 0);
    assert.equal(waiting.review([job], LONG_WAIT_MS), undefined);
});

test("a result that isn't stored and bodies that don't arrive are reported", () => {
    const waiting = new WaitingItems(STARTABLE);
    const unstored = createJob(1);
    unstored.items[0]!.state = "finished";
    const bodiless = new OpenJob({ ...createJobRecord({ id: "k", itemCount: 1 }), partCount: 1 });
    waiting.review([unstored, bodiless], 0);
    const report = waiting.review([unstored, bodiless], LONG_WAIT_MS);
    assert.deepEqual(report?.itemsByReason, { "result-not-stored": 1, "bodies-missing": 1 });
});

test("items that wait for a free slot, have just run or are running are not reported", () => {
    const busy = new WaitingItems({ ...STARTABLE, slotsOf: () => ({ startable: 0, idle: 0, running: 0 }) });
    const idle = new WaitingItems(STARTABLE);
    const job = createJob(2);
    [busy, idle].forEach(waiting => waiting.review([job], 0));
    assert.equal(busy.review([job], LONG_WAIT_MS), undefined);
    job.items[0]!.state = "running";
    job.items[1]!.lastRunEndedAtMs = LONG_WAIT_MS - 1;
    assert.equal(idle.review([job], LONG_WAIT_MS), undefined);
});

test("reports are bounded however many items wait and however often they are reviewed", () => {
    const waiting = new WaitingItems({ ...STARTABLE, isQuarantined: () => true });
    const jobs = [createJob(1000)];
    const reports = Array.from({ length: 1200 }, (_, index) => waiting.review(jobs, index * 50))
        .filter(report => report !== undefined);
    assert.ok(reports.length <= 6);
    assert.equal(reports[0]?.itemsByReason.quarantined, 1000);
});

// A slot that is lent counted as one for all items, so that those that never got it seemed to wait for a resumption.
test("items that wait for a lent slot are reported as waiting for a reserved one", async () => {
    const clock = new ManualClock();
    const upstream = { id: "u", service: SERVICE, slots: 1 } as Upstream;
    const reported: { [field: string]: unknown; }[] = [];
    const log = new WaitingItemsLog({
        clock,
        logger: { ...silentLogger, warn: (_event, fields) => void reported.push(fields ?? {}) },
        directory: { ready: () => [upstream] } as never,
        loadTracker: new LoadTracker(),
        routes: { serviceOf: () => SERVICE } as never,
        candidateOf: () => ({ upstream, online: 0, batch: 0 }),
        mayRun: () => true,
    });
    const job = createJob(2);
    log.report([job]);
    await clock.advance(LONG_WAIT_MS);
    log.report([job]);
    assert.deepEqual(reported.map(({ itemsByReason }) => itemsByReason), [{ "slots-reserved": 2 }]);
});
