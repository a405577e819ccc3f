// An item counted free slots only: slow upstreams were filled like fast ones, and items there were late.
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { BatchCandidate } from "../src/batchCandidate.js";
import { BatchSlots } from "../src/batchSlots.js";
import { chooseBatchUpstream } from "../src/chooseBatchUpstream.js";
import { ItemRunTimeEstimator } from "../src/itemRunTimeEstimator.js";
import { OpenJob } from "../src/openJob.js";
import { createJobRecord } from "./createJobRecord.js";

const SERVICE = "s" as ServiceName;

function candidate(id: string, slowness: number, batch: number): BatchCandidate {
    const upstream = {
        id: id as UpstreamId,
        service: SERVICE,
        address: { host: "h", port: 1 },
        zone: "z" as ZoneName,
        softwareVersion: "v1" as SoftwareVersion,
        slots: 8,
        state: "ready" as const,
        startedAtMs: 1,
    };
    return { upstream, online: 0, batch, slowness };
}

test("a slow upstream gets fewer items than a fast one, in proportion", () => {
    const candidates = [candidate("slow", 2, 0), candidate("fast", 0.5, 0)];
    const chosen = Array.from({ length: 8 }, () => {
        const { upstream } = chooseBatchUpstream(candidates, { times: { remainingMs: 1000, leftMs: 9000 } })!;
        candidates.find(one => one.upstream === upstream)!.batch += 1;
        return upstream.id;
    });
    assert.equal(chosen.filter(id => id === "fast").length, 6);
});

test("an item goes to an upstream at which it ends in time before one with more free slots", () => {
    const candidates = [candidate("slow", 3, 0), candidate("usual", 1, 6)];
    const choose = (leftMs: number) =>
        chooseBatchUpstream(candidates, { times: { remainingMs: 1000, leftMs } })!.upstream.id;
    assert.deepEqual([choose(9000), choose(2000), choose(500)], ["slow", "usual", "slow"]);
});

test("an item that is late only at a slow upstream waits for a faster one, if it is on time there", () => {
    const candidates = [candidate("slow", 7, 0), candidate("full", 1, 7)];
    const takeTimes = (leftMs: number, times: number) => {
        const upstreamsOf = () => candidates.map(({ upstream }) => upstream);
        const slots = new BatchSlots({
            upstreamsOf,
            candidateOf: upstream => candidates.find(one => one.upstream === upstream),
        });
        const item = new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items[0]!;
        return Array.from({ length: times }, () => slots.take(SERVICE, item, false, { remainingMs: 1400, leftMs })?.id);
    };
    // Seven items of 1.4 s end one after the other each 200 ms at the faster one.
    assert.deepEqual(takeTimes(1900, 3), [undefined, undefined, "slow"]);
    assert.deepEqual(takeTimes(20_000, 1), ["slow"], "on time there");
    assert.deepEqual(takeTimes(1000, 1), ["slow"], "late in any case");
});

test("the remaining time of an item is that at its upstream, whatever the speed of those that ran the samples", () => {
    const estimator = new ItemRunTimeEstimator();
    const item = new OpenJob(createJobRecord({ id: "a", itemCount: 1 })).items[0]!;
    estimator.recordRun(100, 10_000, 2);
    estimator.recordOutput({ ...item, lastEventId: 100 });
    assert.equal(estimator.remainingMs(item), 6500);
    assert.equal(estimator.remainingMs(item, 3), 19_500);
});
