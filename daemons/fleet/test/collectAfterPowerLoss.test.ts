import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { HeldJobsCollector } from "../src/heldJobsCollector.js";
import { PeerFollower } from "../src/peerFollower.js";

/** Longer than the lease of a process, in milliseconds. */
const DARK_MS = 5000;

function memberOf(name: string, startedAtMs: number): MemberRecord {
    const [instanceName, zone] = [name as InstanceName, "z" as ZoneName];
    return { instanceName, role: "runner", zone, host: name, loadPort: 1, linkPort: 2, startedAtMs };
}

function start(service: MemoryKeyValueService, clock: ManualClock, name: string) {
    const controller = new AbortController();
    const follower = new PeerFollower({
        service,
        clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        watchWaitMs: () => 4000,
        coalesceMs: () => 0,
        keepsEntries: true,
        self: memberOf(name, clock.nowMs()),
        minLeaseMs: 1000,
        onLeadershipChanged: () => undefined,
        onSuspicions: () => undefined,
    });
    void follower.mirror.run(controller.signal);
    void follower.lease.run(controller.signal);
    return { follower, kill: () => controller.abort() };
}

// All runners lose power for longer than their leases last, with jobs held on two disks. The first one back finds no entry of
// another runner, asks nobody, and took its collection for complete: it approved jobs beyond the limit of a route.
test("a leader that was started after a loss of all power isn't certain of the held jobs before it has asked others", async () => {
    const clock = new ManualClock();
    const timeOfDay = mock.method(Date, "now", () => clock.nowMs());
    const service = new MemoryKeyValueService({ clock });
    const before = ["a", "b", "c"].map(name => start(service, clock, name));
    await clock.advance(2000);
    assert.equal(before[0]!.follower.otherRunners().length, 2);
    before.forEach(({ kill }) => kill());
    await clock.advance(DARK_MS);
    const { follower, kill } = start(service, clock, "a");
    await clock.advance(2000);
    const connect = () => {
        throw new KnapweedError("LINK_NOT_OPEN", "No connection", { outcome: "not-run" });
    };
    const collector = new HeldJobsCollector({
        endpoint: { connect } as unknown as LinkEndpoint,
        logger: silentLogger,
        otherRunners: () => follower.otherRunners(),
        tolerableLosses: () => 1,
        isOwnDiskRead: () => true,
    });
    const isLeading = follower.leadership.isLeading();
    const { isComplete } = await collector.collect(follower.leadership.fence()!.modRevision);
    kill();
    service.close();
    timeOfDay.mock.restore();
    assert.ok(isLeading);
    assert.equal(isComplete, false, "two runners that may hold jobs were not asked");
});
