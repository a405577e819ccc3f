import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeFleet } from "./fakeFleet.js";
import { sampleChange } from "./sampleChange.js";

const ZONES = ["a", "b", "c"];

function startFleet(opts: { entriesPerZone: number; sidesPerZone: number; seed?: number; }): FakeFleet {
    const fleet = new FakeFleet({ seed: opts.seed ?? 7 });
    ZONES.forEach(zone => {
        Array.from({ length: opts.entriesPerZone }, (_, n) => fleet.start(`entry-${zone}${n}`, "entry", zone));
        Array.from({ length: opts.sidesPerZone }, (_, n) => fleet.start(`side-${zone}${n}`, "side", zone));
    });
    return fleet;
}

test("a publish reaches every process over links and is reported as active everywhere", async () => {
    const fleet = startFleet({ entriesPerZone: 3, sidesPerZone: 5 });
    await fleet.clock.advance(6_000);
    const publisher = fleet.createPublisher();
    const { revision } = await fleet.run(publisher.publish({ actor: "ann", changes: [sampleChange("cellar", 1)] }));
    await fleet.clock.advance(2_000);
    assert.deepEqual(new Set(fleet.revisions()), new Set([revision]));
    const entry = [...fleet.processes.values()][0];
    const report = await fleet.run(entry?.configuration.inForce() ?? Promise.reject(new Error("no entry")));
    assert.deepEqual(report, { revision, reached: 24, total: 24, missing: [] });
});

test("few processes watch the key-value service", async () => {
    const fleet = startFleet({ entriesPerZone: 6, sidesPerZone: 2 });
    await fleet.clock.advance(10_000);
    assert.equal(fleet.keyValue.counters.activeWatches, 6);
});

test("a disconnected process is reported as missing and catches up once reconnected", async () => {
    const fleet = startFleet({ entriesPerZone: 2, sidesPerZone: 3 });
    await fleet.clock.advance(6_000);
    fleet.network.setCut("side-a0:1", true);
    const publisher = fleet.createPublisher();
    await fleet.run(publisher.publish({ actor: "ann", changes: [sampleChange("cellar", 1)] }));
    await fleet.clock.advance(3_000);
    const entry = [...fleet.processes.values()][0];
    const report = await fleet.run(entry?.configuration.inForce() ?? Promise.reject(new Error("no entry")));
    assert.deepEqual([report.reached, report.total, report.missing], [14, 15, ["side-a0"]]);
    fleet.network.setCut("side-a0:1", false);
    await fleet.clock.advance(3_000);
    assert.deepEqual(new Set(fleet.revisions()), new Set([1]));
});

test("a process that starts during an outage adopts the newest revision of a peer", async () => {
    const fleet = startFleet({ entriesPerZone: 2, sidesPerZone: 1 });
    const publisher = fleet.createPublisher();
    await fleet.run(publisher.publish({ actor: "ann", changes: [sampleChange("cellar", 1)] }));
    await fleet.run(publisher.publish({ actor: "ann", changes: [sampleChange("cellar", 2)] }));
    await fleet.clock.advance(6_000);
    fleet.keyValue.faults.outage = true;
    const newProcesses = ["entry", "side"].map(kind => fleet.start(`new-${kind}`, kind as "entry" | "side", "a"));
    assert.deepEqual(newProcesses.map(started => started.configuration.current()), [undefined, undefined]);
    await fleet.clock.advance(5_000);
    assert.deepEqual(newProcesses.map(started => started.revisions), [[2], [2]]);
});

test("a single process during an outage has no configuration", async () => {
    const fleet = new FakeFleet({ seed: 1 });
    fleet.keyValue.faults.outage = true;
    const alone = fleet.start("entry-a0", "entry", "a");
    await fleet.clock.advance(20_000);
    assert.equal(alone.configuration.current(), undefined);
});

test("revisions still reach a zone after the loss of all its watchers", async () => {
    const fleet = startFleet({ entriesPerZone: 4, sidesPerZone: 2 });
    await fleet.clock.advance(6_000);
    ["entry-a0", "entry-a1", "entry-a2"].forEach(name => fleet.kill(name));
    await fleet.clock.advance(1_000);
    const publisher = fleet.createPublisher();
    await fleet.run(publisher.publish({ actor: "ann", changes: [sampleChange("cellar", 1)] }));
    await fleet.clock.advance(7_000);
    assert.deepEqual(new Set(fleet.revisions()), new Set([1]));
});

test("a publish reaches a zone of more than 150 processes through relays", async () => {
    const fleet = new FakeFleet({ seed: 3 });
    Array.from({ length: 4 }, (_, n) => fleet.start(`entry-${n}`, "entry", "a"));
    Array.from({ length: 150 }, (_, n) => fleet.start(`side-${n}`, "side", "a"));
    await fleet.clock.advance(6_000);
    const publisher = fleet.createPublisher();
    await fleet.run(publisher.publish({ actor: "ann", changes: [sampleChange("cellar", 1)] }));
    await fleet.clock.advance(2_000);
    assert.deepEqual(new Set(fleet.revisions()), new Set([1]));
    const first = [...fleet.processes.values()][0];
    const report = await fleet.run(first?.configuration.inForce() ?? Promise.reject(new Error("no entry")));
    assert.equal(report.reached, 154);
});
