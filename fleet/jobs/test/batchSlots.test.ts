import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { BatchSlots } from "../src/batchSlots.js";
import { OpenJob } from "../src/openJob.js";
import { createJobRecord } from "./createJobRecord.js";

const SERVICE = "s" as ServiceName;
const [OLD_VERSION, NEW_VERSION] = ["v1", "v2"] as SoftwareVersion[];

function createUpstream(id: string, softwareVersion: SoftwareVersion): Upstream {
    return {
        id: id as UpstreamId,
        service: SERVICE,
        address: { host: "127.0.0.1", port: 1 },
        zone: "z" as ZoneName,
        softwareVersion,
        slots: 4,
        state: "ready",
        startedAtMs: 1,
    };
}

// The only upstream of the version that wrote the item's events had failed it once, so another version's was chosen,
// and the item waited for its own version: until its job expired, with all slots free.
test("an item with most of its output doesn't wait for a version whose upstreams have all failed it", () => {
    const upstreams = [createUpstream("old", OLD_VERSION!), createUpstream("new", NEW_VERSION!)];
    const slots = new BatchSlots({
        upstreamsOf: () => upstreams,
        candidateOf: upstream => ({ upstream, online: 0, batch: 0 }),
    });
    const item = new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items[0]!;
    item.service = SERVICE;
    item.softwareVersion = NEW_VERSION;
    item.failedUpstreamIds.push(upstreams[1]!.id);
    assert.notEqual(slots.take(SERVICE, item, true), undefined);
});

// A route had moved to another service. Its upstreams can't go on with what those of the first one wrote (review/8).
test("an item with most of its output doesn't wait for its version at another service", () => {
    const upstreams = [createUpstream("old", OLD_VERSION!), createUpstream("new", NEW_VERSION!)];
    const loads = new Map([["old", 8], ["new", 0]]);
    const slots = new BatchSlots({
        upstreamsOf: () => upstreams,
        candidateOf: upstream => ({ upstream, online: loads.get(upstream.id)!, batch: 0 }),
    });
    const item = new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items[0]!;
    Object.assign(item, { service: "another", softwareVersion: OLD_VERSION });
    assert.equal(slots.take(SERVICE, item, true)?.id, "new");
});
