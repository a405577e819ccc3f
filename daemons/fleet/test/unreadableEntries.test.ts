// Each heartbeat of an upstream with an unreadable entry logged a warning in each process: 302 lines in 24 s (review/15).
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createFollowerContext } from "./createFollowerContext.js";
import { createUpstreamFollower } from "./createUpstreamFollower.js";

const sound = { address: "10.1.2.3:80", service: "s", zone: "z", version: "v1", slots: 8, state: "ready", born: 1 };
const key = `${wireKeys.upstreams}u`;

test("an unreadable entry is logged once, and once more when it can be read, and counted each time", async () => {
    const clock = new ManualClock(1_000_000);
    const service = new MemoryKeyValueService({ clock });
    const controller = new AbortController();
    const lines: { event: string; fields: { [field: string]: unknown; }; }[] = [];
    const record: Logger["info"] = (event, fields) => {
        if (["upstream-unreadable", "upstream-readable"].includes(event)) {
            lines.push({ event, fields: fields ?? {} });
        }
    };
    const logger: Logger = { ...silentLogger, info: record, warn: record };
    let counted = 0;
    const metrics = {
        ...silentMetrics,
        increment: (name: string) => {
            counted += name === "upstream_entries_unreadable_total" ? 1 : 0;
        },
    };
    const follower = createUpstreamFollower({ ...createFollowerContext(clock, service, logger), metrics });
    const heartbeat = async (entry: object) => {
        await service.transact([], [{ kind: "put", key, value: Buffer.from(JSON.stringify(entry)) }]);
        await clock.advance(1200);
    };
    void follower.mirror.run(controller.signal);
    await heartbeat(sound);
    for (let sequence = 0; sequence < 20; sequence += 1) {
        await heartbeat({ ...sound, zone: undefined, sequence });
    }
    assert.deepEqual(lines.map(({ event }) => event), ["upstream-unreadable"]);
    assert.equal(lines[0]!.fields.key, key);
    assert.equal(counted, 20);
    await heartbeat(sound);
    assert.deepEqual(lines[1], { event: "upstream-readable", fields: { key, failures: 20 } });
    await heartbeat({ ...sound, state: "asleep" });
    await service.transact([], [{ kind: "delete", key }]);
    await clock.advance(100);
    await heartbeat({ ...sound, state: "asleep" });
    assert.equal(lines.length, 4, "a new entry under the key is logged again");
    controller.abort();
});
