import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryInstanceList } from "../src/memoryInstanceList.js";

const record: InstanceRecord = {
    instanceId: "entry-1" as InstanceId,
    kind: "entry",
    region: "region" as RegionName,
    zone: "zone-1" as ZoneName,
    address: "127.0.0.1:1",
    state: "live",
    service: undefined,
    hasDataFolder: false,
};

async function statesOf(list: MemoryInstanceList): Promise<string[]> {
    return (await list.list()).map(listed => listed.state);
}

test("a change becomes visible only after the lag", async () => {
    const clock = new ManualClock();
    const list = new MemoryInstanceList({ clock, lagMs: 100, ttlMs: 1000 });
    await list.announce(record);
    await clock.advance(99);
    assert.deepEqual(await statesOf(list), []);
    await clock.advance(1);
    assert.deepEqual(await statesOf(list), ["live"]);
    await list.announce({ ...record, state: "leaving" });
    assert.deepEqual(await statesOf(list), ["live"]);
    await clock.advance(100);
    assert.deepEqual(await statesOf(list), ["leaving"]);
    await list.withdraw(record.instanceId);
    assert.deepEqual(await statesOf(list), ["leaving"]);
    await clock.advance(100);
    assert.deepEqual(await statesOf(list), []);
});

test("an instance that is no longer announced is removed from the list after its time to live", async () => {
    const clock = new ManualClock();
    const list = new MemoryInstanceList({ clock, lagMs: 0, ttlMs: 1000 });
    await list.announce(record);
    await clock.advance(600);
    await list.announce(record);
    await clock.advance(999);
    assert.deepEqual(await statesOf(list), ["live"]);
    await clock.advance(1);
    assert.deepEqual(await statesOf(list), []);
});
