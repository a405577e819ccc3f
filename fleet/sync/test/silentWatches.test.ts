// The connection of a watch goes silent without an error, or is cut, while all other connections to the key-value service
// work. The mirror took that for a service in which nothing changes: an ended job's items began for 4.7 s (review/10),
// drained upstreams got requests, and a configuration took effect as late. A cut connection counted as an outage, after which
// removed upstreams are kept.
import assert from "node:assert/strict";
import { test } from "node:test";
import type { PrefixMirror } from "../src/prefixMirror.js";
import { MirroringFleet } from "./mirroringFleet.js";

/** Age at which mirrors are checked, in milliseconds. */
const MAX_AGE_MS = 1000;
const WATCH_WAIT_MS = 8000;
/** Time in which a change has to be mirrored, whatever the watches do. */
const BOUND_MS = 2000;

function put(key: string) {
    return { kind: "put", key, value: Buffer.from("v") } as const;
}

test("a change is mirrored within the bound though the watch has gone silent, at each phase of the watch", async () => {
    for (let phaseMs = 0; phaseMs <= WATCH_WAIT_MS; phaseMs += 400) {
        const fleet = new MirroringFleet(1);
        await fleet.clock.advance(100 + phaseMs);
        fleet.service.silenceWatches("a/");
        await fleet.clock.advance(100);
        await fleet.service.transact([], [put("a/1")]);
        const takenMs = await fleet.timeUntilKnown("a/1");
        assert.ok(takenMs <= BOUND_MS, `phase ${phaseMs} ms: mirrored after ${takenMs} ms`);
        fleet.stop();
    }
});

// After each change all processes start a new watch at the same time. Then no watch ends soon and finds the next change.
test("a change is mirrored by all processes within the bound though their watches went silent together", async () => {
    for (const processes of [2, 6, 12]) {
        const fleet = new MirroringFleet(processes);
        await fleet.clock.advance(3000);
        await fleet.service.transact([], [put("a/before")]);
        await fleet.clock.advance(60);
        fleet.service.silenceWatches("a/");
        await fleet.service.transact([], [put("a/1")]);
        const takenMs = await fleet.timeUntilKnown("a/1");
        assert.ok(takenMs <= BOUND_MS, `${processes} processes: mirrored after ${takenMs} ms`);
        fleet.stop();
    }
});

test("a mirror whose checks get no answer isn't current", async () => {
    const fleet = new MirroringFleet(1);
    const [mirror] = fleet.mirrors as [PrefixMirror];
    await fleet.clock.advance(500);
    assert.equal(mirror.isCurrent, true);
    fleet.service.silenceWatches("a/");
    fleet.service.faults.responseDelayMs = 60_000;
    await fleet.clock.advance(MAX_AGE_MS);
    assert.equal(mirror.isCurrent, true);
    await fleet.clock.advance(2 * MAX_AGE_MS);
    assert.equal(mirror.isCurrent, false);
    fleet.service.faults.responseDelayMs = 0;
    fleet.stop();
});

test("a watch that is cut is no outage, and what it missed is mirrored at once", async () => {
    const fleet = new MirroringFleet(1);
    const [mirror] = fleet.mirrors as [PrefixMirror];
    await fleet.service.transact([], [put("a/1")]);
    await fleet.clock.advance(500);
    fleet.service.silenceWatches("a/");
    await fleet.service.transact([], [put("a/2"), { kind: "delete", key: "a/1" }]);
    fleet.service.cutWatches("a/");
    await fleet.clock.advance(100);
    assert.deepEqual([...fleet.keys[0]!], ["a/2"]);
    assert.deepEqual([mirror.lastOutageEndedAtMs, fleet.recoveries], [-Infinity, 0]);
    assert.ok(mirror.gaplessSinceMs < 100, "no change was missed");
    fleet.stop();
});

test("a watch that fails while no other call reaches the service is an outage", async () => {
    const fleet = new MirroringFleet(1, { isServiceReachable: () => false });
    await fleet.clock.advance(500);
    fleet.service.cutWatches("a/");
    await fleet.clock.advance(1000);
    assert.equal(fleet.recoveries, 1);
    fleet.stop();
});

test("a process verifies a mirror by another one's report only if it has the same changes", async () => {
    const fleet = new MirroringFleet(1, { checkDelayMs: () => 60_000 });
    const [mirror] = fleet.mirrors as [PrefixMirror];
    await fleet.service.transact([], [put("a/1")]);
    await fleet.clock.advance(3000);
    mirror.recordVerification({ revision: mirror.revision + 1, ageMs: 0 });
    assert.ok(mirror.ageMs > 2000);
    mirror.recordVerification({ revision: mirror.revision, ageMs: 40 });
    assert.equal(mirror.ageMs, 40);
    fleet.stop();
});

test("checks cost at most one call a second in a fleet of any size, beyond those of the watches", async () => {
    for (const processes of [1, 6, 60]) {
        const fleet = new MirroringFleet(processes);
        await fleet.clock.advance(5000);
        const callsBefore = fleet.service.changeCalls;
        const seconds = 60;
        await fleet.clock.advance(seconds * 1000);
        const watchesPerSecond = processes * 1000 / WATCH_WAIT_MS;
        const callsPerSecond = (fleet.service.changeCalls - callsBefore) / seconds;
        assert.ok(
            callsPerSecond <= watchesPerSecond * 1.1 + 1,
            `${processes} processes: ${callsPerSecond} calls a second, ${watchesPerSecond} of watches`,
        );
        fleet.stop();
    }
});
