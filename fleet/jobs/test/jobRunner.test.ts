import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { Route } from "@knapweedwood/fleet.view/route";
import { UpstreamDirectory } from "@knapweedwood/fleet.view/upstreamDirectory";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobKeys } from "../src/jobKeys.js";
import { JobRunner } from "../src/jobRunner.js";
import { planJobWrite } from "../src/planJobWrite.js";
import { createJobRecord } from "./createJobRecord.js";

const SERVICE = "s" as ServiceName;
const SLOTS = 7;
const JOBS = 80;
const ITEMS = 10;
const PEERS = 88;
/** As in the records of `createJobRecord`. */
const EXPIRES_AT_MS = 60_000;
const upstreamIds = Array.from({ length: 10 }, (_, index) => `u-${index}` as UpstreamId);

/** Counts how often the routes of items are matched and the upstreams of a service are listed. */
class CountingConfiguration extends ActiveConfiguration {
    matches = 0;

    override match(host: string, path: string): Route | undefined {
        this.matches += 1;
        return super.match(host, path);
    }
}

class CountingDirectory extends UpstreamDirectory {
    listings = 0;

    override ready(service: ServiceName) {
        this.listings += 1;
        return super.ready(service);
    }
}

/** Returns a leading runner with `JOBS` loaded jobs, at upstreams whose slots all run online requests. */
async function createBusyRunner() {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const fence = { key: "leader", modRevision: 0 };
    const configuration = new CountingConfiguration();
    const route = { host: "host", prefix: "/p/", kind: "batch", services: [{ service: SERVICE, weight: 1 }] };
    configuration.adopt({ version: 1, routes: [route as unknown as Route], services: [] } as never);
    const directory = new CountingDirectory();
    upstreamIds.forEach((id, index) =>
        directory.put({
            id,
            service: SERVICE,
            address: { host: "127.0.0.1", port: 1 + index },
            zone: "z" as ZoneName,
            slots: SLOTS,
            state: "ready",
            startedAtMs: 1,
        })
    );
    const loadTracker = new LoadTracker();
    const runner = new JobRunner({
        service,
        clock,
        configuration,
        directory,
        loadTracker,
        random: new SeededRandom(1),
        logger: silentLogger,
        metrics: silentMetrics,
        leadership: { isLeading: () => true, fence: () => fence, stepDown: () => undefined },
        connections: new UpstreamConnections(),
        health: new UpstreamHealth(),
        headers: { requestId: "i", expectedUpstream: "u", lastEventId: "l", notRun: "n", upstreamProof: "p" },
        resultRetentionMs: () => 120_000,
        onLoadChanged: () => undefined,
        heldJobs: () => [],
        collectHeldJobs: () => Promise.resolve({ jobs: [], isComplete: true }),
    });
    for (let index = 0; index < JOBS; index += 1) {
        const record = createJobRecord({ id: `job-${index}`, itemCount: ITEMS, dueAtMs: clock.nowMs() + 60_000 });
        const { operations } = planJobWrite(
            { record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined },
            undefined,
        );
        await service.transact([], operations);
    }
    let sequence = 0;
    const report = (peer: number) => {
        loadTracker.apply({
            instanceName: `peer-${peer}` as InstanceName,
            startedAtMs: 1,
            sequence: sequence += 1,
            isKeyValueReachable: true,
            counts: peer === 0 ? upstreamIds.map(upstreamId => ({ upstreamId, online: SLOTS, batch: 0 })) : [],
            ejected: [],
            waiting: [],
            configurationRevision: 0,
            upstreamsRevision: 0,
            leader: undefined,
            jobsRevision: 0,
        }, clock.nowMs());
        runner.requestDispatch();
    };
    report(0);
    runner.start();
    await clock.advance(500);
    const finishedResults = () => service.list(jobKeys.resultsPrefix);
    return { clock, runner, configuration, directory, report, finishedResults };
}

// Load pattern: every process reports its load up to each 15 ms, and 800 items wait for a slot. A dispatch of 5 ms for
// each report left the leader no time for anything else: links didn't open and no job could be read.
test("reports of 88 processes while all slots are taken cost one dispatch, and no item is matched again", async () => {
    const { clock, runner, configuration, directory, report } = await createBusyRunner();
    const { matches, listings } = { matches: configuration.matches, listings: directory.listings };
    assert.equal(matches, JOBS * ITEMS);
    for (let peer = 0; peer < PEERS; peer += 1) {
        report(peer);
    }
    await clock.advance(10);
    assert.equal(configuration.matches, matches);
    assert.equal(directory.listings - listings, 1);
    runner.stop();
});

// Job records carry times of the gateway's clock, which may be seconds behind the leader's.
test("items are abandoned only when their job has expired by every clock of the fleet", async () => {
    const { clock, runner, report, finishedResults } = await createBusyRunner();
    const advanceTo = async (atMs: number) => {
        while (clock.nowMs() < atMs) {
            report(0);
            await clock.advance(1000);
        }
    };
    await advanceTo(EXPIRES_AT_MS + 4000);
    assert.deepEqual(await finishedResults(), []);
    await advanceTo(EXPIRES_AT_MS + 9000);
    assert.equal((await finishedResults()).length, JOBS * ITEMS);
    runner.stop();
});
