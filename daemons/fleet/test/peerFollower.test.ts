import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerFollower } from "../src/peerFollower.js";

function memberOf(name: string, role: MemberRecord["role"]): MemberRecord {
    return {
        instanceName: name as InstanceName,
        role,
        zone: "z" as ZoneName,
        host: name,
        loadPort: 1,
        linkPort: 2,
        startedAtMs: 1,
    };
}

function start(opts: { service: MemoryKeyValueService; clock: ManualClock; self: MemberRecord; signal: AbortSignal; }) {
    const follower = new PeerFollower({
        service: opts.service,
        clock: opts.clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        watchWaitMs: () => 4000,
        coalesceMs: () => 100,
        keepsEntries: true,
        self: opts.self,
        minLeaseMs: 1000,
        onLeadershipChanged: () => undefined,
        onSuspicions: () => undefined,
    });
    void follower.mirror.run(opts.signal);
    void follower.lease.run(opts.signal);
    return follower;
}

test("a running process whose entry was removed writes it again", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const controller = new AbortController();
    const { signal } = controller;
    const gateway = start({ service, clock, self: memberOf("gateway", "gateway"), signal });
    start({ service, clock, self: memberOf("runner", "runner"), signal });
    await clock.advance(1000);
    assert.deepEqual(gateway.runners(), [{ host: "runner", port: 2 }]);

    // A delayed write bound the entry to an earlier lease, and the end of that lease removed it.
    await service.transact([], [{ kind: "delete", key: fleetKeys.member("runner" as InstanceName) }]);
    await clock.advance(15_000);
    assert.deepEqual(gateway.runners(), [{ host: "runner", port: 2 }]);
    assert.deepEqual(gateway.leaderAddress(), { host: "runner", port: 2 });
    controller.abort();
});

// A drained runner whose record stayed would count as missing at each later change of leaders.
test("a runner without a process is still asked for held jobs, unless it was drained or its record is removed", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const controllers = ["self", "drained", "gone"].map(() => new AbortController());
    const [self, drained] = controllers.map(({ signal }, index) =>
        start({ service, clock, self: memberOf(["self", "drained", "gone"][index]!, "runner"), signal })
    );
    await clock.advance(1000);
    assert.equal(self!.otherRunners().length, 2);
    await drained!.retire();
    await drained!.lease.revoke();
    // A process that still runs after its drain gets a new lease.
    await clock.advance(3000);
    assert.equal(self!.otherRunners().length, 2);
    controllers.slice(1).forEach(controller => controller.abort());
    await clock.advance(30_000);
    assert.deepEqual(self!.runners().map(({ host }) => host), ["self"]);
    assert.deepEqual(self!.otherRunners().map(({ host }) => host), ["gone"]);
    const [absent] = self!.absentRunners();
    await assert.rejects(self!.removeRunner({ ...absent!, modRevision: absent!.modRevision - 1 }));
    await self!.removeRunner(absent!);
    await clock.advance(1000);
    assert.deepEqual(self!.otherRunners(), []);
    controllers[0]!.abort();
});
