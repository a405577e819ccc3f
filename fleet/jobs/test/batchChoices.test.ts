import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { BatchCandidate } from "../src/batchCandidate.js";
import { chooseBatchUpstream } from "../src/chooseBatchUpstream.js";
import { chooseRunsToEnd } from "../src/chooseRunsToEnd.js";
import { OpenJob } from "../src/openJob.js";
import { orderOfItems } from "../src/orderOfItems.js";
import { jobOf } from "./jobOf.js";

function candidate(id: string, online: number, batch: number): BatchCandidate {
    const upstream = {
        id: id as UpstreamId,
        service: "s" as ServiceName,
        address: { host: "h", port: 1 },
        zone: "z" as ZoneName,
        slots: 8,
        state: "ready" as const,
        startedAtMs: 1,
    };
    return { upstream, online, batch };
}

test("an item goes where most slots are free and leaves one for an online request", () => {
    assert.equal(chooseBatchUpstream([candidate("a", 4, 0), candidate("b", 1, 2)])?.upstream.id, "b");
    assert.equal(chooseBatchUpstream([candidate("a", 4, 3), candidate("b", 8, 0)]), undefined);
});

test("a burst ends as many runs as it displaces: those due last, then those started last", () => {
    const run = (name: string, dueAtMs: number, startedAtMs: number) => ({
        name,
        upstreamId: "a" as UpstreamId,
        dueAtMs,
        startedAtMs,
    });
    const runs = [run("early", 10, 0), run("old", 20, 1), run("new", 20, 2)];
    const ended = chooseRunsToEnd(candidate("a", 7, 3), runs).map(({ name }) => name);
    assert.deepEqual(ended, ["new", "old"]);
    assert.deepEqual(chooseRunsToEnd(candidate("a", 5, 3), runs), []);
});

test("items run by due time, begun ones first, jobs that are late already last", () => {
    const jobs = [
        new OpenJob(jobOf({ id: "late", itemCount: 1, dueAtMs: 900 })),
        new OpenJob(jobOf({ id: "far", itemCount: 1, dueAtMs: 9000 })),
        new OpenJob(jobOf({ id: "near", itemCount: 2, dueAtMs: 2000 })),
    ];
    jobs[2]!.items[1]!.lastEventId = 3;
    const order = orderOfItems(jobs, 1000).map(({ item }) => item.id);
    assert.deepEqual(order, ["near-1", "near-0", "far-0", "late-0"]);
});
