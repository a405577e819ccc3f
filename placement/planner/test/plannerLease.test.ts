import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PlannerLease } from "../src/plannerLease.js";
import { PlanStore } from "../src/planStore.js";

const region = "tt-north" as RegionName;

test("a planner paused past its lease writes no plan, and its successor has a higher fencing number", async () => {
    const clock = new ManualClock();
    const keyValue = new MemoryKeyValueService({ clock });
    const lease = (name: string) => new PlannerLease({ keyValue, clock, region, instanceId: name as InstanceId });
    const [first, second] = [lease("entry-1"), lease("entry-2")];
    assert.deepEqual([await first.acquireOrRenew(), await second.acquireOrRenew()], [true, false]);
    const old = first.fencingNumber as FencingNumber;
    await clock.advance(12_000);
    assert.equal(first.fencingNumber, undefined);
    assert.equal(await second.acquireOrRenew(), true);
    const next = second.fencingNumber as FencingNumber;
    assert.ok(next > old);
    const store = new PlanStore({ keyValue, region });
    assert.equal(await store.write({ fencingNumber: next, planNumber: 1, upstreams: [] }), true);
    assert.equal(await store.write({ fencingNumber: old, planNumber: 9, upstreams: [] }), false);
    assert.equal((await store.read())?.fencingNumber, next);
    assert.equal(await first.acquireOrRenew(), false);
    await second.release();
    assert.equal(await first.acquireOrRenew(), true);
});
