// A gateway that started during an outage used the first snapshot that it got. An older one brought back an upstream that
// had left and a key that was withdrawn.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetKnowledge } from "../src/fleetKnowledge.js";
import { OperatorsFollower } from "../src/operatorsFollower.js";
import type { PeerFollower } from "../src/peerFollower.js";
import { configurationOf } from "./configurationOf.js";
import { createFollowerContext } from "./createFollowerContext.js";
import { createUpstreamFollower } from "./createUpstreamFollower.js";

function createKnowledge(clock: ManualClock, service: MemoryKeyValueService) {
    const context = createFollowerContext(clock, service);
    const operators = new OperatorsFollower({
        ...context,
        instanceName: "gateway" as InstanceName,
        metrics: silentMetrics,
        onConfiguration: () => undefined,
        onDrainRequested: () => undefined,
    });
    const upstreams = createUpstreamFollower(context);
    const mirror = { seed: () => false, entries: () => [], knownRevision: 0 };
    const peers = { mirror } as unknown as PeerFollower;
    return { operators, upstreams, knowledge: new FleetKnowledge({ operators, upstreams, peers }) };
}

function snapshotOf(revision: number, version: number, keys: string[], upstreamIds: string[]): FleetSnapshot {
    const entryOf = (key: string, value: Uint8Array) => ({ key, value, modRevision: version, leaseId: undefined });
    return {
        operators: [entryOf(wireKeys.configuration, configurationOf(version, keys))],
        upstreams: upstreamIds.map(id => entryOf(`${wireKeys.upstreams}${id}`, Buffer.from(`{"id":"${id}"}`))),
        fleet: [],
        revisions: { operators: revision, upstreams: revision, fleet: revision },
    };
}

test("the newest of several snapshots wins in any order, and none is certain to be current", () => {
    const older = snapshotOf(40, 3, ["old"], ["left", "stays"]);
    const newer = snapshotOf(60, 4, [], ["stays"]);
    [[older, newer], [newer, older], [newer, older, newer]].forEach(snapshots => {
        const clock = new ManualClock();
        const { operators, upstreams, knowledge } = createKnowledge(clock, new MemoryKeyValueService({ clock }));
        snapshots.forEach((one, index) => knowledge.seed(`runner-${index}`, one));
        const state = [operators.configuration.version, operators.configuration.teamOf("old")];
        assert.deepEqual([...state, operators.mirror.isCurrent, knowledge.isListed], [4, undefined, false, false]);
        assert.deepEqual(upstreams.mirror.entries().map(({ key }) => key), [`${wireKeys.upstreams}stays`]);
        const { revisions, operators: passedOn } = knowledge.snapshot()!;
        assert.deepEqual([revisions?.upstreams, passedOn.map(one => one.modRevision)], [60, [4]]);
    });
});

test("a process that has listed the fleet takes only a newer configuration from a snapshot", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { operators, upstreams, knowledge } = createKnowledge(clock, service);
    const controller = new AbortController();
    await service.transact([], [{ kind: "put", key: wireKeys.configuration, value: configurationOf(1, ["old"]) }]);
    [operators, upstreams].forEach(({ mirror }) => void mirror.run(controller.signal));
    await clock.advance(100);
    assert.equal(knowledge.seed("runner", snapshotOf(60, 4, [], ["other"])), true);
    assert.equal(knowledge.seed("runner", snapshotOf(70, 4, [], ["other"])), false);
    assert.deepEqual([operators.configuration.version, upstreams.mirror.entries()], [4, []]);
    controller.abort();
});
