import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { FleetSnapshot } from "@knapweedwood/fleet.sync/fleetSnapshot";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SnapshotKeeper } from "../src/snapshotKeeper.js";
import { SnapshotLoader } from "../src/snapshotLoader.js";

const snapshot: FleetSnapshot = { operators: [], upstreams: [], fleet: [] };

/** Starts a process whose key-value service answers after `keyValueMs`. Only seed `b` knows the fleet, from 1 s on. */
async function startProcess(keyValueMs: number) {
    const clock = new ManualClock();
    const asked: string[] = [];
    let seededAtMs: number | undefined;
    const controller = new AbortController();
    const endpoint = {
        connect: (address: string) => ({
            call: async function*() {
                asked.push(address);
                if (address !== "b:2") {
                    throw new KnapweedError("LINK_NOT_OPEN", "No connection", { outcome: "not-run" });
                }
                yield clock.nowMs() < 1000 ? {} : { snapshot };
            },
        }),
    } as unknown as LinkEndpoint;
    const loader = new SnapshotLoader({
        endpoint,
        clock,
        logger: silentLogger,
        seeds: ["a", "b"].map(host => ({ host, port: 2 })),
        isListed: () => clock.nowMs() >= keyValueMs,
        seed: () => {
            const isFirst = seededAtMs === undefined;
            seededAtMs ??= clock.nowMs();
            return isFirst;
        },
    });
    void loader.run(controller.signal);
    await clock.advance(5000);
    controller.abort();
    return { asked, seededAtMs };
}

// Gateways that started while the key-value service was down rejected everything until it was back.
test("a process that starts during an outage is seeded by a runner as soon as one knows the fleet", async () => {
    const { asked, seededAtMs } = await startProcess(Infinity);
    assert.equal(seededAtMs, 1000);
    assert.deepEqual([...new Set(asked)], ["a:2", "b:2"]);
});

// The first snapshot was used, and the seeds weren't asked again: a key that had been withdrawn was valid until the end of
// the outage.
test("the newest of what all seeds know is used, and they are asked until the service answers", async () => {
    const clock = new ManualClock();
    const entryOf = (modRevision: number) => ({ key: "k", value: Buffer.from("v"), modRevision, leaseId: undefined });
    const revisions: { [address: string]: number; } = { "a:2": 4, "b:2": 7, "c:2": 5 };
    const endpoint = {
        connect: (address: string) => ({
            call: async function*() {
                yield { snapshot: { ...snapshot, operators: [entryOf(revisions[address]!)] } };
            },
        }),
    } as unknown as LinkEndpoint;
    const used: string[] = [];
    let isListed = false;
    const loader = new SnapshotLoader({
        endpoint,
        clock,
        logger: silentLogger,
        seeds: ["a", "b", "c"].map(host => ({ host, port: 2 })),
        isListed: () => isListed,
        seed: (source, { operators }) => {
            used.push(`${source} ${operators[0]?.modRevision}`);
            return true;
        },
    });
    const controller = new AbortController();
    void loader.run(controller.signal);
    await clock.advance(1000);
    revisions["c:2"] = 9;
    await clock.advance(1000);
    isListed = true;
    await clock.advance(5000);
    assert.deepEqual(used, ["b 7", "c 9"]);
    controller.abort();
});

test("a process whose key-value service answers asks no runner", async () => {
    assert.deepEqual(await startProcess(300), { asked: [], seededAtMs: undefined });
});

test("a runner stores what it knows when that has changed, and knows after a restart what was stored", async () => {
    const clock = new ManualClock();
    const controller = new AbortController();
    let known: FleetSnapshot | undefined;
    const written: FleetSnapshot[] = [];
    const file = {
        read: () => Promise.resolve(written.at(-1)),
        write: async (one: FleetSnapshot) => void written.push(one),
    };
    const keeper = () => new SnapshotKeeper({ clock, logger: silentLogger, known: () => known, file });
    const entryOf = (modRevision: number) => ({ key: "k", value: Buffer.from("v"), modRevision, leaseId: undefined });
    const first = keeper();
    assert.equal(await first.load(), undefined);
    void first.run(controller.signal);
    await clock.advance(1500);
    assert.equal(written.length, 0);
    known = { ...snapshot, upstreams: [entryOf(1)] };
    await clock.advance(5000);
    known = { ...snapshot, upstreams: [entryOf(2)] };
    await clock.advance(5000);
    assert.equal(written.length, 2);
    known = undefined;
    const restarted = keeper();
    await restarted.load();
    assert.equal(restarted.current()?.upstreams[0]?.modRevision, 2);
    controller.abort();
});
