// An upstream said in its responses that it leaves. Each process learned that by a request of its own, so the upstream got one
// or more from each of them.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerContext } from "./createFollowerContext.js";
import { createUpstreamFollower } from "./createUpstreamFollower.js";

test("an upstream that has said to one process that it leaves gets no requests from the others", async () => {
    const clock = new ManualClock(1_000_000);
    const service = new MemoryKeyValueService({ clock });
    const controller = new AbortController();
    const entry = { address: "10.1.2.3:80", service: "s", zone: "z", version: "v1", slots: 8, state: "ready", born: 1 };
    for (const id of ["u1", "u2"]) {
        const value = Buffer.from(JSON.stringify(entry));
        await service.transact([], [{ kind: "put", key: `${wireKeys.upstreams}${id}`, value }]);
    }
    const told = createUpstreamFollower(createFollowerContext(clock, service));
    const peer = createUpstreamFollower(createFollowerContext(clock, service));
    [told, peer].forEach(({ mirror }) => void mirror.run(controller.signal));
    await clock.advance(100);
    told.onLeaving({ id: "u1" as UpstreamId, startedAtMs: 1 });
    const reported = told.leavingToReport();
    reported.forEach(upstream => peer.onLeavingAtPeer(upstream, "told" as InstanceName));
    assert.deepEqual(peer.usable("s" as ServiceName, undefined).map(({ id }) => id), ["u2"]);
    assert.deepEqual(peer.leavingToReport(), [], "only the process that was told announces it");
    await clock.advance(1000);
    assert.deepEqual(told.leavingToReport(), []);
    controller.abort();
});
