import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { CountingKeyValueService } from "@knapweedwood/core.key-value/countingKeyValueService";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryKeyValueService } from "../src/memoryKeyValueService.js";

const KEY = "root";

async function settle(opts: { service: KeyValueService; clock: ManualClock; modRevision?: number; }) {
    const settled = settleTransaction({
        service: opts.service,
        clock: opts.clock,
        compares: [{ key: KEY, modRevision: opts.modRevision ?? 0 }],
        operations: [{ kind: "put", key: KEY, value: Buffer.from("ours") }],
        witnessKey: KEY,
    });
    settled.catch(() => undefined);
    await opts.clock.advance(10_000);
    return settled;
}

function write(service: MemoryKeyValueService, text: string) {
    return service.transact([], [{ kind: "put", key: KEY, value: Buffer.from(text) }]);
}

test("a write that took effect and whose response was lost settles as succeeded and is written once", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    service.faults.loseNextResponses(2);
    const settled = await settle({ service, clock });
    assert.deepEqual(settled, { kind: "succeeded", revision: service.revision });
    assert.equal(service.revision, 2);
});

test("a failed comparison settles as failed, with the current entries", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const { revision } = await write(service, "theirs");
    const settled = await settle({ service, clock });
    assert.equal(settled.kind, "failed");
    assert.deepEqual(settled.kind === "failed" && settled.current.map(entry => entry.modRevision), [revision]);
});

test("a write that may have been replaced after its response was lost settles as unknown", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    service.faults.loseNextResponses(1);
    const settled = settleTransaction({
        service,
        clock,
        compares: [{ key: KEY, modRevision: 0 }],
        operations: [{ kind: "put", key: KEY, value: Buffer.from("ours") }],
        witnessKey: KEY,
    });
    await clock.advance(1);
    await write(service, "theirs");
    await clock.advance(10_000);
    assert.deepEqual(await settled, { kind: "unknown" });
});

test("an outage rejects with the outcome not-run, unless an earlier attempt may have run", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    service.faults.outage = true;
    await assert.rejects(settle({ service, clock }), { outcome: "not-run" });
    service.faults.outage = false;
    service.faults.loseNextResponses(1);
    clock.setTimer(1, () => {
        service.faults.outage = true;
    });
    assert.deepEqual(await settle({ service, clock }), { kind: "unknown" });
});

test("a counting service counts the calls that pass through it", async () => {
    const clock = new ManualClock();
    const counting = new CountingKeyValueService(new MemoryKeyValueService({ clock }));
    await settle({ service: counting, clock });
    await counting.get(KEY);
    await counting.list("");
    await counting.keepLeaseAlive(await counting.grantLease(1000));
    const controller = new AbortController();
    for await (const _batch of counting.watch("", { afterRevision: 0, signal: controller.signal })) {
        assert.equal(counting.counters.activeWatches, 1);
        break;
    }
    assert.deepEqual(counting.counters, { reads: 2, writes: 2, keepAlives: 1, watches: 1, activeWatches: 0 });
});
