import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { HttpInstanceList } from "@knapweedwood/routing.instance-list/httpInstanceList";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import assert from "node:assert/strict";
import { test } from "node:test";
import { InstanceListServer } from "../src/instanceListServer.js";

const record: InstanceRecord = {
    instanceId: "side/1" as InstanceId,
    kind: "side",
    region: "region" as RegionName,
    zone: "zone-1" as ZoneName,
    address: "127.0.0.1:1",
    state: "live",
    service: "plates" as ServiceName,
    hasDataFolder: true,
};

test("instances are announced, listed and withdrawn over HTTP, despite faults", async () => {
    const clock = new SystemClock();
    const server = new InstanceListServer({ clock, lagMs: 0 });
    const port = await server.listen({ host: "127.0.0.1", port: 0 });
    const list = new HttpInstanceList({ clock, baseUrl: `http://127.0.0.1:${port}`, timeoutMs: 1500 });
    await list.announce(record);
    assert.deepEqual(await list.list(), [record]);
    server.applyFaults({ silentConnections: true });
    assert.deepEqual(await list.list(), [record]);
    server.applyFaults({ outage: true });
    await assert.rejects(list.list(), { code: "ERR_KNAPWEED_INSTANCE_LIST_UNAVAILABLE", outcome: "not-run" });
    server.applyFaults({ outage: false });
    await list.withdraw(record.instanceId);
    assert.deepEqual(await list.list(), []);
    server.applyFaults({ lagMs: 60_000 });
    await list.announce(record);
    assert.deepEqual(await list.list(), []);
    await list.close();
    await server.close();
});
