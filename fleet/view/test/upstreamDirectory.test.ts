import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Upstream } from "../src/upstream.js";
import { UpstreamDirectory } from "../src/upstreamDirectory.js";

const service = "s" as ServiceName;

function upstream(id: string, change: Partial<Upstream> = {}): Upstream {
    return {
        id: id as UpstreamId,
        service,
        address: { host: "h", port: 1 },
        zone: "z" as ZoneName,
        softwareVersion: "v1" as SoftwareVersion,
        slots: 8,
        state: "ready",
        startedAtMs: 1,
        ...change,
    };
}

function directoryOf(count: number): UpstreamDirectory {
    const directory = new UpstreamDirectory();
    Array.from({ length: count }, (_, index) => upstream(String(index))).forEach(one => directory.put(one, 0));
    return directory;
}

test("drops an upstream immediately when its entry disappears without an outage", () => {
    const directory = directoryOf(8);
    assert.deepEqual(directory.remove(["0" as UpstreamId], 10_000).map(change => change.kind), ["left"]);
    assert.equal(directory.ready(service).length, 7);
});

test("keeps entries that expire around an outage for a grace period", () => {
    const directory = directoryOf(8);
    directory.onKeyValueReconnected(10_000);
    assert.deepEqual(directory.remove(["0" as UpstreamId], 10_500), []);
    assert.equal(directory.ready(service).length, 8);
    directory.put(upstream("0"), 10_600);
    assert.deepEqual(directory.dropExpired(20_000), []);
    directory.remove(["1" as UpstreamId], 10_600);
    assert.equal(directory.dropExpired(20_000).length, 1);
});

test("keeps the entries when most upstreams of a service disappear at once", () => {
    const directory = directoryOf(8);
    const ids = directory.ids().slice(0, 5);
    assert.deepEqual(directory.remove(ids, 10_000), []);
    assert.equal(directory.ready(service).length, 8);
});

test("excludes a draining upstream from new requests and reports a restarted upstream as joined", () => {
    const directory = directoryOf(2);
    assert.equal(directory.put(upstream("0", { state: "draining" }), 0)?.kind, "changed");
    assert.equal(directory.ready(service).length, 1);
    assert.equal(directory.put(upstream("0", { startedAtMs: 2 }), 0)?.kind, "joined");
});

test("drops an upstream removed soon after an outage once the grace period of the outage ends", () => {
    const directory = directoryOf(8);
    directory.onKeyValueReconnected(10_000);
    directory.remove(["0" as UpstreamId], 11_400);
    assert.equal(directory.dropExpired(12_300).length, 1);
});

test("drops most of a service's upstreams within two seconds if they disappear without an outage", () => {
    const directory = directoryOf(8);
    directory.remove(directory.ids().slice(0, 5), 10_000);
    assert.equal(directory.dropExpired(12_000).length, 5);
});

test("a service has one software version only while no other was listed, also one that has left", () => {
    const directory = directoryOf(2);
    const v2 = upstream("2", { softwareVersion: "v2" as SoftwareVersion });
    assert.equal(directory.soleVersion(service, 0), "v1");
    directory.put(v2, 1000);
    assert.equal(directory.soleVersion(service, 0), undefined);
    directory.remove([v2.id], 5000);
    assert.deepEqual([5000, 5001].map(sinceMs => directory.soleVersion(service, sinceMs)), [undefined, "v1"]);
    directory.put(upstream("0", { startedAtMs: 2, softwareVersion: v2.softwareVersion }), 9000);
    directory.put(upstream("1", { startedAtMs: 2, softwareVersion: v2.softwareVersion }), 9000);
    assert.deepEqual([9000, 9001].map(sinceMs => directory.soleVersion(service, sinceMs)), [undefined, "v2"]);
});

test("an upstream that has said that it leaves stays out although its entry comes back as ready", () => {
    const directory = directoryOf(2);
    const [leaving] = [upstream("0")];
    assert.deepEqual([1000, 1500].map(nowMs => directory.markLeaving(leaving, nowMs)), [true, false]);
    directory.remove([leaving.id], 2000);
    directory.put(leaving, 3000);
    assert.deepEqual(directory.ready(service).map(({ id }) => id), ["1"]);
    assert.deepEqual([1000, 1001].map(sinceMs => directory.leaving(service, sinceMs).length), [1, 0]);
    directory.put({ ...leaving, startedAtMs: 2 }, 4000);
    assert.equal(directory.ready(service).length, 2, "a later process with the same id doesn't leave");
    directory.put(upstream("1", { state: "draining" }), 5000);
    directory.put(upstream("1"), 6000);
    assert.equal(directory.ready(service).length, 2, "an upstream whose entry is ready again stays");
});

// A process that ended without a word may have crashed; requests that ran at others are then less likely the cause of crashes.
test("tells of processes that are no longer listed and had not said that they leave", () => {
    const ended: string[] = [];
    const directory = new UpstreamDirectory({ onEnded: ({ id, startedAtMs }) => ended.push(`${id} ${startedAtMs}`) });
    ["replaced", "expired", "draining", "announced"].forEach(id => directory.put(upstream(id), 0));
    directory.put(upstream("replaced", { startedAtMs: 2 }), 10_000);
    directory.put(upstream("draining", { state: "draining" }), 10_000);
    directory.markLeaving(upstream("announced"), 10_000);
    directory.remove(["expired"] as UpstreamId[], 11_000);
    directory.put(upstream("draining", { startedAtMs: 2 }), 12_000);
    directory.put(upstream("announced", { startedAtMs: 2 }), 12_000);
    assert.deepEqual(ended, ["replaced 1", "expired 1"]);
});
