// The connection on which a process watches the upstreams goes silent or is cut. A cut one counted as an outage of the
// key-value service, so that an upstream that left got requests for 2.2 s more; behind a silent one it got them for 4.7 s.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { SilenceableKeyValueService } from "@knapweedwood/standins.key-value/silenceableKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerContext } from "./createFollowerContext.js";
import { createUpstreamFollower } from "./createUpstreamFollower.js";

const SERVICE = "s" as ServiceName;
const DRAIN_BOUND_MS = 2000;

async function startFollower() {
    const clock = new ManualClock(1_000_000);
    const service = new SilenceableKeyValueService({ clock });
    const controller = new AbortController();
    const write = (id: string, state: string) => {
        const entry = { address: "h:1", service: SERVICE, zone: "z", version: "v1", slots: 8, state, born: 1 };
        const key = `${wireKeys.upstreams}${id}`;
        return service.transact([], [{ kind: "put", key, value: Buffer.from(JSON.stringify(entry)) }]);
    };
    const remove = (id: string) => service.transact([], [{ kind: "delete", key: `${wireKeys.upstreams}${id}` }]);
    await Promise.all(["u1", "u2", "u3"].map(id => write(id, "ready")));
    const context = createFollowerContext(clock, service);
    const follower = createUpstreamFollower({ ...context, maxAgeMs: () => DRAIN_BOUND_MS / 2 });
    void follower.mirror.run(controller.signal);
    await clock.advance(1500);
    const usableIds = () => follower.usable(SERVICE, undefined).map(({ id }) => id);
    return { clock, service, write, remove, usableIds, stop: () => controller.abort() };
}

test("an upstream that drains or leaves behind a silent watch gets no request after the drain time", async () => {
    const { clock, service, write, remove, usableIds, stop } = await startFollower();
    service.silenceWatches(wireKeys.upstreams);
    await write("u1", "draining");
    await remove("u2");
    await clock.advance(DRAIN_BOUND_MS);
    assert.deepEqual(usableIds(), ["u3"]);
    stop();
});

test("an upstream that leaves as the watch is cut gets no request from then on", async () => {
    const { clock, service, remove, usableIds, stop } = await startFollower();
    service.silenceWatches(wireKeys.upstreams);
    await remove("u2");
    service.cutWatches(wireKeys.upstreams);
    await clock.advance(100);
    assert.deepEqual(usableIds(), ["u1", "u3"]);
    stop();
});
