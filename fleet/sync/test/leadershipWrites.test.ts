import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { fleetKeys } from "../src/fleetKeys.js";
import { Leadership } from "../src/leadership.js";
import { ProcessLease } from "../src/processLease.js";

/** Returns a candidate with a lease. Its leadership observes the leader key only where a test says so. */
async function createCandidate() {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const common = { service, clock, random: new SeededRandom(1), logger: silentLogger };
    const lease = new ProcessLease({ ...common, minLeaseMs: 0, onGranted: () => Promise.resolve() });
    const events: string[] = [];
    const leadership = new Leadership({
        ...common,
        lease,
        self: { instanceName: "a" as InstanceName, startedAtMs: 1 },
        isCandidate: true,
        onGained: () => events.push("gained"),
        onLost: () => events.push("lost"),
    });
    const controller = new AbortController();
    void lease.run(controller.signal);
    await clock.advance(10);
    const observe = async () => leadership.observe(await service.get(fleetKeys.jobsLeader), service.revision);
    return { clock, service, lease, leadership, events, observe, end: () => controller.abort() };
}

// The first write of the key took effect, but all responses were lost. The process kept the lease of the key without
// leading, so that nobody could lead until it ended.
test("no process keeps the leader key without leading after the responses to its writes were lost", async () => {
    const { clock, service, leadership, observe, end } = await createCandidate();
    service.faults.loseNextResponses(6);
    leadership.observe(undefined, service.revision);
    for (let checks = 0; checks < 50; checks += 1) {
        await clock.advance(200);
        await observe();
    }
    const entry = await service.get(fleetKeys.jobsLeader);
    assert.ok(entry === undefined || leadership.isLeading(), "the key is held by a process that doesn't lead");
    end();
});

// The key was seen missing again while an attempt to write it was still under way. The later attempt took effect; the
// earlier one then found the same value and took it for its own, and the runner started twice without a stop.
test("a leadership is gained once, also if two attempts overlap", async () => {
    const { clock, service, leadership, events, end } = await createCandidate();
    service.faults.delayMs = 200;
    leadership.observe(undefined, service.revision);
    await clock.advance(100);
    service.faults.delayMs = 0;
    leadership.observe(undefined, service.revision);
    await clock.advance(1000);
    assert.deepEqual(events, ["gained"]);
    end();
});

// The lease of the leader key had ended, and the process had a new one before it heard of the end of its leadership. It
// took itself for the certain leader again and served results from its memory while another process led.
test("a process whose lease has ended doesn't lead with the next one", async () => {
    const { clock, service, lease, leadership, events, end } = await createCandidate();
    leadership.observe(undefined, service.revision);
    await clock.advance(500);
    assert.deepEqual(events, ["gained"]);
    const firstLeaseId = lease.heldId;
    service.faults.expireLease(firstLeaseId!);
    await clock.advance(3000);
    assert.notEqual(lease.heldId, firstLeaseId);
    assert.equal(await service.get(fleetKeys.jobsLeader), undefined);
    assert.equal(leadership.isLeading(), false);
    end();
});

// A write whose caller had given up on it took effect seconds later, while the key was missing, and nobody led.
test("no process keeps the leader key without leading after its write took effect late", async () => {
    const { clock, service, lease, leadership, observe, end } = await createCandidate();
    const transact = service.transact.bind(service);
    const lostCalls: Parameters<typeof transact>[] = [];
    const writes = mock.method(service, "transact", (...args: Parameters<typeof transact>) => {
        lostCalls.push(args);
        return Promise.reject(answerLostError("lost"));
    });
    leadership.observe(undefined, service.revision);
    await clock.advance(700);
    writes.mock.restore();
    assert.ok(lease.isHeld());
    await transact(...lostCalls[0]!);
    for (let checks = 0; checks < 50; checks += 1) {
        await observe();
        await clock.advance(200);
    }
    const entry = await service.get(fleetKeys.jobsLeader);
    assert.ok(entry === undefined || leadership.isLeading(), "the key is held by a process that doesn't lead");
    end();
});

// A drain that began during an attempt found no leadership to resign, and the attempt left a key that nobody led with.
test("a process that resigns during an attempt leaves no leader key", async () => {
    const { clock, service, leadership, events, end } = await createCandidate();
    service.faults.responseDelayMs = 300;
    leadership.observe(undefined, service.revision);
    await clock.advance(150);
    await leadership.resign();
    service.faults.responseDelayMs = 0;
    await clock.advance(1000);
    assert.deepEqual(events, []);
    assert.equal(await service.get(fleetKeys.jobsLeader), undefined);
    end();
});

// The removal of the key was rejected, and a repeated drain found no leadership to resign.
test("a resignation whose write failed is repeated", async () => {
    const { clock, service, leadership, end } = await createCandidate();
    leadership.observe(undefined, service.revision);
    await clock.advance(500);
    service.faults.outage = true;
    await assert.rejects(leadership.resign());
    service.faults.outage = false;
    await leadership.resign();
    assert.equal(await service.get(fleetKeys.jobsLeader), undefined);
    end();
});

// The key had been written, and removed with its lease, before the response arrived; the process led without a key.
test("a leadership whose end was observed before the response to its write is not gained", async () => {
    const { clock, service, lease, leadership, events, end } = await createCandidate();
    service.faults.responseDelayMs = 400;
    leadership.observe(undefined, service.revision);
    await clock.advance(100);
    service.faults.expireLease(lease.heldId!);
    leadership.observe(undefined, service.revision);
    await clock.advance(600);
    assert.deepEqual(events, []);
    service.faults.responseDelayMs = 0;
    await clock.advance(4000);
    assert.deepEqual(events, ["gained"]);
    end();
});

// A write of an earlier leadership was refused after the next one had begun, and ended that.
test("a refused write of an earlier leadership doesn't end the next one", async () => {
    const { clock, service, leadership, events, observe, end } = await createCandidate();
    leadership.observe(undefined, service.revision);
    await clock.advance(500);
    const earlier = leadership.fence()!;
    leadership.stepDown(earlier, "test");
    await clock.advance(100);
    await observe();
    await clock.advance(1000);
    leadership.stepDown(earlier, "test");
    assert.deepEqual(events, ["gained", "lost", "gained"]);
    assert.notEqual(leadership.fence(), undefined);
    end();
});
