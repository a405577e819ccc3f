import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { fleetKeys } from "../src/fleetKeys.js";
import { Leadership } from "../src/leadership.js";
import { ProcessLease } from "../src/processLease.js";

function candidate(opts: { service: MemoryKeyValueService; clock: ManualClock; name: string; signal: AbortSignal; }) {
    const common = { service: opts.service, clock: opts.clock, random: new SeededRandom(1), logger: silentLogger };
    const lease = new ProcessLease({ ...common, minLeaseMs: 1000, onGranted: () => Promise.resolve() });
    const events: string[] = [];
    const leadership = new Leadership({
        ...common,
        lease,
        self: { instanceName: opts.name as InstanceName, startedAtMs: 1 },
        isCandidate: true,
        onGained: () => events.push("gained"),
        onLost: () => events.push("lost"),
    });
    void lease.run(opts.signal);
    return { leadership, lease, events };
}

async function readLeaderKey(service: MemoryKeyValueService) {
    return service.get(fleetKeys.jobsLeader);
}

test("one of two candidates becomes leader", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { signal, abort } = createAbortHandle();
    const candidates = ["a", "b"].map(name => candidate({ service, clock, name, signal }));
    candidates.forEach(({ leadership }) => leadership.observe(undefined, 1));
    await clock.advance(1000);
    assert.equal(candidates.filter(({ leadership }) => leadership.isLeading()).length, 1);
    abort();
});

test("a leader whose write was rejected removes its key and can be elected again", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { signal, abort } = createAbortHandle();
    const { leadership, events } = candidate({ service, clock, name: "a", signal });
    leadership.observe(undefined, 1);
    await clock.advance(1000);
    const first = leadership.fence();
    leadership.observe(await readLeaderKey(service), service.revision);
    leadership.stepDown(first!, "test");
    await clock.advance(100);
    assert.equal(await readLeaderKey(service), undefined);
    leadership.observe(undefined, service.revision);
    await clock.advance(1000);
    assert.deepEqual(events, ["gained", "lost", "gained"]);
    assert.notEqual(leadership.fence()!.modRevision, first!.modRevision);
    abort();
});

test("a leader disconnected from the service stops when another process reports a newer leader", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { signal, abort } = createAbortHandle();
    const { leadership, events } = candidate({ service, clock, name: "a", signal });
    leadership.observe(undefined, 1);
    await clock.advance(1000);
    const fencingNumber = leadership.fence()!.modRevision;
    leadership.recordLeader({ instanceName: "a" as InstanceName, fencingNumber });
    assert.deepEqual(events, ["gained"]);
    leadership.recordLeader({ instanceName: "b" as InstanceName, fencingNumber: fencingNumber + 1 });
    assert.deepEqual(events, ["gained", "lost"]);
    assert.equal(leadership.leader?.instanceName, "b");
    abort();
});

test("an outdated observation does not end a newer leadership", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { signal, abort } = createAbortHandle();
    const { leadership, events } = candidate({ service, clock, name: "a", signal });
    leadership.observe(undefined, 1);
    await clock.advance(1000);
    leadership.observe(undefined, leadership.fence()!.modRevision - 1);
    assert.deepEqual(events, ["gained"]);
    abort();
});

test("a restarted leader does not wait for the lease of its earlier start to expire", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const lease = await service.grantLease(60_000);
    const record = { instanceName: "a", startedAtMs: 0 };
    const value = Buffer.from(JSON.stringify(record));
    await service.transact([], [{ kind: "put", key: fleetKeys.jobsLeader, value, leaseId: lease }]);
    const { signal, abort } = createAbortHandle();
    const { leadership } = candidate({ service, clock, name: "a", signal });
    leadership.observe(await readLeaderKey(service), service.revision);
    await clock.advance(10);
    assert.equal(await readLeaderKey(service), undefined);
    leadership.observe(undefined, service.revision);
    await clock.advance(200);
    assert.equal(leadership.isLeading(), true);
    abort();
});

function createAbortHandle() {
    const controller = new AbortController();
    return { signal: controller.signal, abort: () => controller.abort() };
}
