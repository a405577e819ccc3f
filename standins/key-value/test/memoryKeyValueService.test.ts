import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryKeyValueService } from "../src/memoryKeyValueService.js";

function put(key: string, text: string, leaseId?: string): KeyValueOperation {
    return { kind: "put", key, value: Buffer.from(text), leaseId };
}

async function textOf(service: MemoryKeyValueService, key: string): Promise<string | undefined> {
    const entry = await service.get(key);
    return entry === undefined ? undefined : Buffer.from(entry.value).toString();
}

async function take(batches: AsyncIterable<WatchBatch>, count: number): Promise<WatchBatch[]> {
    const taken: WatchBatch[] = [];
    for await (const batch of batches) {
        taken.push(batch);
        if (taken.length === count) {
            break;
        }
    }
    return taken;
}

test("one of two racing compare-and-swaps succeeds, and the other receives the entry that was written", async () => {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    const [first, second] = await Promise.all([
        service.transact([{ key: "a", modRevision: 0 }], [put("a", "first")]),
        service.transact([{ key: "a", modRevision: 0 }], [put("a", "second")]),
    ]);
    assert.equal(first.succeeded, true);
    assert.equal(second.succeeded, false);
    assert.equal(second.current[0]?.modRevision, first.revision);
    assert.equal(await textOf(service, "a"), "first");
});

test("a lease that is not kept alive expires, and its keys are deleted", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const leaseId = await service.grantLease(1000);
    await service.transact([], [put("held", "x", leaseId)]);
    await clock.advance(900);
    assert.equal(await service.keepLeaseAlive(leaseId), 1000);
    await clock.advance(999);
    assert.equal(await textOf(service, "held"), "x");
    await clock.advance(1);
    assert.equal(await textOf(service, "held"), undefined);
    assert.equal(await service.keepLeaseAlive(leaseId), 0);
    await assert.rejects(service.transact([], [put("held", "y", leaseId)]), {
        code: "ERR_KNAPWEED_KEY_VALUE_LEASE_NOT_FOUND",
    });
});

test("a key that is put again without its lease is kept when the lease expires", async () => {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    const leaseId = await service.grantLease(1000);
    await service.transact([], [put("a", "x", leaseId)]);
    await service.transact([], [put("a", "y")]);
    service.faults.expireLease(leaseId);
    assert.equal(await textOf(service, "a"), "y");
});

test("a watch reports the changes of each revision together, from the requested revision", async () => {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    const first = await service.transact([], [put("w/1", "a"), put("other", "a")]);
    const second = await service.transact([], [put("w/2", "b"), { kind: "delete", key: "w/1" }]);
    const signal = new AbortController().signal;
    const batches = service.watch("w/", { afterRevision: first.revision - 1, signal });
    const taken = await take(batches, 2);
    assert.deepEqual(
        taken.map(batch => [batch.revision, batch.puts.map(entry => entry.key), batch.deletedKeys]),
        [[first.revision, ["w/1"], []], [second.revision, ["w/2"], ["w/1"]]],
    );
    assert.equal(service.counters.activeWatches, 0);
});

test("a watch ends when it is aborted, and throws when an outage starts", async () => {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    const controller = new AbortController();
    const aborted = take(service.watch("", { afterRevision: 0, signal: controller.signal }), 1);
    const lost = take(service.watch("", { afterRevision: 0, signal: new AbortController().signal }), 1);
    const rejected = assert.rejects(lost, { code: "ERR_KNAPWEED_KEY_VALUE_UNAVAILABLE" });
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(service.counters.activeWatches, 2);
    controller.abort();
    assert.deepEqual(await aborted, []);
    service.faults.outage = true;
    await rejected;
});

test("a write whose response is lost has taken effect, and a write rejected in an outage has not", async () => {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    service.faults.loseNextResponses(1);
    await assert.rejects(service.transact([], [put("a", "1")]), {
        code: "ERR_KNAPWEED_KEY_VALUE_ANSWER_LOST",
        outcome: "unknown",
    });
    assert.equal(await textOf(service, "a"), "1");
    service.faults.outage = true;
    await assert.rejects(service.transact([], [put("a", "2")]), {
        code: "ERR_KNAPWEED_KEY_VALUE_UNAVAILABLE",
        outcome: "not-run",
    });
    service.faults.outage = false;
    assert.equal(await textOf(service, "a"), "1");
});

test("values over a megabyte are rejected", async () => {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    const operation: KeyValueOperation = { kind: "put", key: "a", value: new Uint8Array(1_000_001) };
    await assert.rejects(service.transact([], [operation]), { code: "ERR_KNAPWEED_KEY_VALUE_VALUE_TOO_LARGE" });
    assert.equal(await service.get("a"), undefined);
});

test("calls are counted by kind", async () => {
    const service = new MemoryKeyValueService({ clock: new ManualClock() });
    await service.get("a");
    await service.list("a");
    await service.keepLeaseAlive(await service.grantLease(10));
    await service.transact([], []);
    assert.deepEqual(service.counters, { reads: 2, writes: 2, keepAlives: 1, watches: 0, activeWatches: 0 });
});
