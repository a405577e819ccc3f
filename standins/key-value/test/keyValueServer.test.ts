import { EtcdKeyValueService } from "@knapweedwood/adapters.key-value-etcd/etcdKeyValueService";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { KeyValueServer } from "../src/keyValueServer.js";

const clock = new SystemClock();
let server: KeyValueServer;
let client: EtcdKeyValueService;
let port = 0;

beforeEach(async () => {
    server = new KeyValueServer({ clock });
    port = await server.listen({ host: "127.0.0.1", port: 0 });
    client = new EtcdKeyValueService({
        clock,
        baseUrl: `http://127.0.0.1:${port}`,
        readTimeoutMs: 1500,
        writeTimeoutMs: 1500,
        watchIdleMs: 300,
    });
});

afterEach(async () => {
    await client.close();
    await server.close();
});

function put(key: string, text: string, leaseId?: string): KeyValueOperation {
    return { kind: "put", key, value: Buffer.from(text), leaseId };
}

async function textOf(key: string): Promise<string | undefined> {
    const entry = await client.get(key);
    return entry === undefined ? undefined : Buffer.from(entry.value).toString();
}

test("transactions, lists and leases work through the gateway", async () => {
    const leaseId = await client.grantLease(1500);
    const created = await client.transact([{ key: "a/1", modRevision: 0 }], [put("a/1", "one", leaseId), put("b", "")]);
    assert.equal(created.succeeded, true);
    const raced = await client.transact([{ key: "a/1", modRevision: 0 }, { key: "c", modRevision: 0 }], [put("c", "")]);
    assert.equal(raced.succeeded, false);
    assert.deepEqual(raced.current.map(entry => [entry.key, entry.modRevision]), [["a/1", created.revision]]);
    await client.transact([], [put("a/2", "two"), put("a/3", "three")]);
    assert.deepEqual((await client.list("a/", { limit: 1, afterKey: "a/1" })).map(entry => entry.key), ["a/2"]);
    assert.deepEqual((await client.list("")).map(entry => entry.key), ["a/1", "a/2", "a/3", "b"]);
    assert.equal((await client.get("a/1"))?.leaseId, leaseId);
    assert.equal((await client.get("b"))?.value.byteLength, 0);
    assert.equal(await client.keepLeaseAlive(leaseId), 2000);
    await client.revokeLease(leaseId);
    assert.equal(await textOf("a/1"), undefined);
    assert.equal(await client.keepLeaseAlive(leaseId), 0);
});

test("rejected transactions have distinct error codes and are not run", async () => {
    const tooLarge: KeyValueOperation = { kind: "put", key: "a", value: new Uint8Array(1_000_001) };
    await assert.rejects(client.transact([], [tooLarge]), {
        code: "ERR_KNAPWEED_KEY_VALUE_VALUE_TOO_LARGE",
        outcome: "not-run",
    });
    await assert.rejects(client.transact([], [put("a", "x", "77")]), {
        code: "ERR_KNAPWEED_KEY_VALUE_LEASE_NOT_FOUND",
        outcome: "not-run",
    });
    await assert.rejects(client.transact([], [put("a", "x"), put("a", "y")]), {
        code: "ERR_KNAPWEED_KEY_VALUE_DUPLICATE_KEY",
        outcome: "not-run",
    });
    assert.equal(server.service.revision, 1);
});

test("a write whose response is lost has an unknown outcome, takes effect once and is not sent again", async () => {
    server.applyFaults({ loseAnswers: 1 });
    await assert.rejects(client.transact([], [put("a", "x")]), {
        code: "ERR_KNAPWEED_KEY_VALUE_ANSWER_LOST",
        outcome: "unknown",
    });
    assert.equal(server.service.counters.writes, 1);
    assert.equal(await textOf("a"), "x");
});

test("a write whose response is too late has an unknown outcome", async () => {
    server.applyFaults({ answerDelayMs: 60_000 });
    await assert.rejects(client.transact([], [put("a", "x")]), { outcome: "unknown" });
    server.applyFaults({ answerDelayMs: 0 });
    assert.equal(await textOf("a"), "x");
    assert.equal(server.service.counters.writes, 1);
});

test("calls during an outage and calls to a closed port are not run", async () => {
    server.applyFaults({ outage: true });
    const notRun = { code: "ERR_KNAPWEED_KEY_VALUE_UNAVAILABLE", outcome: "not-run" };
    await assert.rejects(client.transact([], [put("a", "x")]), notRun);
    await assert.rejects(client.get("a"), notRun);
    server.applyFaults({ outage: false });
    assert.equal(await textOf("a"), undefined);
    await server.close();
    const otherClient = new EtcdKeyValueService({ clock, baseUrl: `http://127.0.0.1:${port}` });
    await assert.rejects(otherClient.transact([], [put("a", "x")]), notRun);
    await otherClient.close();
});

test("reads and keep-alives succeed despite silent connections; a write on one has an unknown outcome", async () => {
    const leaseId = await client.grantLease(5000);
    server.applyFaults({ silentConnections: true });
    assert.equal(await client.keepLeaseAlive(leaseId), 5000);
    server.applyFaults({ silentConnections: true });
    await assert.rejects(client.transact([], [put("a", "x")]), { outcome: "unknown" });
    assert.equal(await textOf("a"), undefined);
    await client.transact([], [put("a", "y")]);
    assert.equal(await textOf("a"), "y");
});

test("a watch continues without gaps or duplicates after its connection was silenced", async () => {
    const controller = new AbortController();
    const seen: WatchBatch[] = [];
    const watched = (async () => {
        for await (const batch of client.watch("w/", { afterRevision: 1, signal: controller.signal })) {
            seen.push(batch);
            if (seen.length === 2) {
                server.applyFaults({ silentConnections: true });
                await server.service.transact([], [put("w/3", "c"), { kind: "delete", key: "w/1" }]);
            }
            if (seen.length === 3) {
                controller.abort();
            }
        }
    })();
    await server.service.transact([], [put("w/1", "a")]);
    await server.service.transact([], [put("w/2", "b"), put("other", "x")]);
    await watched;
    assert.deepEqual(seen.map(batch => [batch.revision, batch.puts.map(entry => entry.key), batch.deletedKeys]), [
        [2, ["w/1"], []],
        [3, ["w/2"], []],
        [4, ["w/3"], ["w/1"]],
    ]);
});

test("a watch fails when an outage starts, and new watches are rejected while it lasts", async () => {
    const watchOnce = async () => {
        for await (const _batch of client.watch("", { afterRevision: 1, signal: new AbortController().signal })) {
            server.applyFaults({ outage: true });
        }
    };
    await server.service.transact([], [put("a", "x")]);
    await assert.rejects(watchOnce(), { code: "ERR_KNAPWEED_KEY_VALUE_UNAVAILABLE" });
    await assert.rejects(watchOnce(), { code: "ERR_KNAPWEED_KEY_VALUE_UNAVAILABLE" });
});

test("faults are changed and counters read over HTTP", async () => {
    const baseUrl = `http://127.0.0.1:${port}`;
    await fetch(`${baseUrl}/faults`, { method: "POST", body: JSON.stringify({ outage: true }) });
    await assert.rejects(client.get("a"));
    const counters = await (await fetch(`${baseUrl}/counters`)).json() as { reads: number; };
    assert.equal(counters.reads, 1);
});
