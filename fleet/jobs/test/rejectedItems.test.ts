// An item that an upstream rejected as full of other callers' requests was sent to it again until it expired, beside idle
// upstreams (review/11). The same with the status 421 and a version that the item demands.
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { applyRunOutcome } from "../src/applyRunOutcome.js";
import { BatchSlots } from "../src/batchSlots.js";
import type { ItemRunOutcome } from "../src/itemRunOutcome.js";
import { OpenJob } from "../src/openJob.js";
import { recordRejection } from "../src/recordRejection.js";
import { createJobRecord } from "./createJobRecord.js";

const SERVICE = "s" as ServiceName;
const VERSION = "v1" as SoftwareVersion;
const REJECTED: ItemRunOutcome = { kind: "not-run", isMisdirected: false };

function createUpstreams(slots: { [id: string]: number; }, softwareVersion = VERSION): Upstream[] {
    return Object.entries(slots).map(([id, count]) => ({
        id: id as UpstreamId,
        service: SERVICE,
        softwareVersion,
        slots: count,
    } as Upstream));
}

function createItem() {
    return new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items[0]!;
}

/** Sends an item until an upstream runs it, at most 10 times. Returns where it was sent, shape [upstreams]. */
function send(item: ReturnType<typeof createItem>, upstreams: Upstream[], rejecting: string[], keepsEvents = false) {
    const sentTo: string[] = [];
    for (let attempt = 0; attempt < 10; attempt += 1) {
        const slots = new BatchSlots({
            upstreamsOf: () => upstreams,
            candidateOf: upstream => ({ upstream, online: 0, batch: 0 }),
        });
        const chosen = slots.take(SERVICE, item, keepsEvents);
        if (chosen === undefined) {
            return sentTo;
        }
        sentTo.push(chosen.id);
        const outcome: ItemRunOutcome = rejecting.includes(chosen.id) ? REJECTED : { kind: "completed" };
        recordRejection(item, chosen.id, outcome);
        if (applyRunOutcome(item, outcome, { nowMs: 0, maxAttempts: 3 }) === "completed") {
            return sentTo;
        }
    }
    return sentTo;
}

test("an item that an upstream rejects goes to others, whatever their number of slots", () => {
    assert.deepEqual(send(createItem(), createUpstreams({ full: 8, a: 8, b: 8 }), ["full"]), ["full", "a"]);
    assert.deepEqual(send(createItem(), createUpstreams({ full: 8, a: 1, b: 1 }), ["full"]), ["full", "a"]);
    assert.deepEqual(send(createItem(), createUpstreams({ x: 8, y: 6, z: 4 }), ["x", "y"]), ["x", "y", "z"]);
});

test("an item that all upstreams have rejected goes round", () => {
    const sentTo = send(createItem(), createUpstreams({ x: 8, y: 6, z: 4 }), ["x", "y", "z"]);
    assert.deepEqual(sentTo.slice(0, 7), ["x", "y", "z", "x", "y", "z", "x"]);
});

test("an item with most of its output tries an upstream of its version some times, and then starts over elsewhere", () => {
    const item = createItem();
    Object.assign(item, { service: SERVICE, softwareVersion: VERSION, lastEventId: 90 });
    const upstreams = [
        ...createUpstreams({ full: 8 }),
        ...createUpstreams({ other: 8 }, "v2" as SoftwareVersion),
    ];
    assert.deepEqual(send(item, upstreams, ["full"], true), ["full", "full", "full", "other"]);
});

test("a run ends the memory of rejections", () => {
    const item = createItem();
    recordRejection(item, "x" as UpstreamId, REJECTED);
    recordRejection(item, "y" as UpstreamId, REJECTED);
    recordRejection(item, "x" as UpstreamId, REJECTED);
    assert.deepEqual(item.rejectedByUpstreamIds, ["y", "x"]);
    recordRejection(item, "y" as UpstreamId, { kind: "failed" });
    assert.deepEqual(item.rejectedByUpstreamIds, []);
});
