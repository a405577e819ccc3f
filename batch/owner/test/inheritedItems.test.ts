import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import assert from "node:assert/strict";
import { test } from "node:test";
import { InheritedItems } from "../src/inheritedItems.js";
import { ItemQueue } from "../src/itemQueue.js";
import type { PendingItem } from "../src/pendingItem.js";

const service = "demo" as ServiceName;
const nowMs = 1000;

function gate(name: string): PeerIdentity {
    return {
        instanceId: name as InstanceId,
        incarnation: 1 as Incarnation,
        kind: "side",
        zone: "a" as ZoneName,
        region: "r" as RegionName,
    };
}

function pending(index: number): PendingItem {
    const line = { customId: `c${index}`, method: "POST", url: "/v1/chat/completions", body: {} };
    return {
        index,
        line: line as unknown as PendingItem["line"],
        service: { name: service, repeatable: true } as PendingItem["service"],
        attemptCount: 0,
        notBeforeMs: 0,
        resumeFrom: undefined,
    };
}

function held(index: number, attempt = 1) {
    return { jobId: "job" as JobId, itemIndex: index as ItemIndex, attempt };
}

function handedOut(index: number, peer: string) {
    return { index, peer: peer as InstanceId, incarnation: 1 as Incarnation, attempt: 1 };
}

function takeAll(queue: ItemQueue, peer: PeerIdentity): number[] {
    const indexes: number[] = [];
    for (let item = queue.take(service, peer, nowMs); item !== undefined; item = queue.take(service, peer, nowMs)) {
        indexes.push(item.index);
    }
    return indexes;
}

test("items that a gate held at the hand-over are not handed to another gate", () => {
    const queue = new ItemQueue([]);
    const inherited = new InheritedItems({ queue, handedOut: [handedOut(0, "x"), handedOut(1, "x")] });
    [0, 1, 2].forEach(index => inherited.add(pending(index), nowMs));
    assert.deepEqual(takeAll(queue, gate("y")), [2]);
    assert.equal(queue.inFlightItem(0)?.peer, "x");
});

test("an item whose response was lost with the earlier owner is requeued once its gate's pull does not list it", () => {
    const queue = new ItemQueue([]);
    const inherited = new InheritedItems({
        queue,
        handedOut: [handedOut(0, "x"), handedOut(1, "x"), handedOut(2, "x")],
    });
    [0, 1].forEach(index => inherited.add(pending(index), nowMs));
    inherited.confirm([held(1)], gate("y"), nowMs);
    assert.equal(queue.inFlightItem(0)?.peer, "x", "a report of another gate is ignored");
    inherited.confirm([held(1)], gate("x"), nowMs);
    inherited.add(pending(2), nowMs);
    assert.deepEqual(takeAll(queue, gate("y")), [0, 2]);
    assert.equal(queue.inFlightItem(1)?.peer, "x");
});

test("after an owner crash, items that gates hold are not handed out, whether or not their line was read", () => {
    const queue = new ItemQueue([]);
    const inherited = new InheritedItems({ queue, handedOut: [] });
    inherited.add(pending(0), nowMs);
    inherited.confirm([held(0, 2), held(1)], gate("x"), nowMs);
    inherited.add(pending(1), nowMs);
    inherited.add(pending(2), nowMs);
    assert.deepEqual(takeAll(queue, gate("y")), [2]);
    assert.equal(queue.inFlightItem(0)?.item.attemptCount, 2);
});

test("an item that this owner handed out stays at its gate when another gate reports it", () => {
    const queue = new ItemQueue([]);
    const inherited = new InheritedItems({ queue, handedOut: [] });
    inherited.add(pending(0), nowMs);
    assert.deepEqual(takeAll(queue, gate("y")), [0]);
    inherited.confirm([held(0)], gate("x"), nowMs);
    assert.equal(queue.inFlightItem(0)?.peer, "y");
});
