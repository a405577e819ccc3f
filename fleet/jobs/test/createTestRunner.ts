import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { RequestQuarantine } from "@knapweedwood/fleet.quarantine/requestQuarantine";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { Route } from "@knapweedwood/fleet.view/route";
import { UpstreamDirectory } from "@knapweedwood/fleet.view/upstreamDirectory";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { mock } from "node:test";
import type { HeldJob } from "../src/heldJob.js";
import type { JobItemRecord } from "../src/jobItemRecord.js";
import { jobKeys } from "../src/jobKeys.js";
import { JobRunner } from "../src/jobRunner.js";
import type { JobRunnerOptions } from "../src/jobRunnerOptions.js";
import { planJobWrite } from "../src/planJobWrite.js";
import { callHeaders } from "./callHeaders.js";
import { createJobRecord } from "./createJobRecord.js";
import { runnerTestLoad } from "./runnerTestLoad.js";

const SERVICE = "s" as ServiceName;
const VERSION = "v1" as SoftwareVersion;
const BAD_PART = "bad";
const WITHDRAW_INTERVAL_MS = 500;

/** Gives an item a prompt part that crashes upstreams. */
function addBadPart(item: JobItemRecord): void {
    item.headers.push({ name: "q", value: BAD_PART });
}

/** Returns a leading runner that has loaded its jobs, with every other item made bad. */
export async function createTestRunner(opts: {
    busySlots: number;
    jobs: number;
    /** Number of upstreams and of slots of each; by default those of the test load. */
    upstreams?: { count: number; slots: number; };
    connections: UpstreamConnections;
    limits?: NonNullable<JobRunnerOptions["limits"]>;
    /** Makes an item one that crashes upstreams. Called for every other item. */
    makeBad?: (item: JobItemRecord) => void;
    /** Jobs on the disks of this instance and of the other runners, shape [jobs]. */
    heldJobs?: { own: HeldJob[]; others: HeldJob[]; };
    clock?: ManualClock;
    service?: MemoryKeyValueService;
    jobsMaxAgeMs?: () => number;
    /** Whether all processes of the upstreams live on, and the runner knows. */
    areUpstreamsListed?: boolean;
}) {
    const { clock = new ManualClock() } = opts;
    const { service = new MemoryKeyValueService({ clock }) } = opts;
    const term = { fence: { key: "leader", modRevision: 0 } };
    const configuration = new ActiveConfiguration();
    const route = { host: "host", prefix: "/p/", kind: "batch", services: [{ service: SERVICE, weight: 1 }] };
    configuration.adopt({ version: 1, routes: [route as unknown as Route], services: [] } as never);
    const match = mock.method(configuration, "match");
    const directory = new UpstreamDirectory();
    const list = mock.method(directory, "ready");
    const loadTracker = new LoadTracker();
    const { slots, upstreamIds } = runnerTestLoad;
    upstreamIds.slice(0, opts.upstreams?.count).forEach(id => {
        const address = { host: "127.0.0.1", port: 1 };
        const zone = "z" as ZoneName;
        directory.put({
            id,
            service: SERVICE,
            address,
            zone,
            softwareVersion: VERSION,
            slots: opts.upstreams?.slots ?? slots,
            state: "ready",
            startedAtMs: 1,
        }, 0);
        Array.from({ length: opts.busySlots }).forEach(() => loadTracker.count(id, "online", 1));
    });
    const quarantine = new RequestQuarantine({
        clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        publish: () => undefined,
        listedAtMs: () => opts.areUpstreamsListed === true ? clock.nowMs() : -Infinity,
        upstreamCount: () => 3,
        store: () => undefined,
        remove: () => undefined,
        onChanged: () => undefined,
    });
    const keepWithdrawing = () => {
        clock.setTimer(WITHDRAW_INTERVAL_MS, () => {
            quarantine.withdrawCrashes();
            keepWithdrawing();
        });
    };
    keepWithdrawing();
    const runner = new JobRunner({
        service,
        clock,
        configuration,
        refreshConfiguration: () => Promise.resolve(true),
        directory,
        loadTracker,
        random: new SeededRandom(1),
        logger: silentLogger,
        metrics: silentMetrics,
        leadership: { isLeading: () => true, fence: () => term.fence, stepDown: () => undefined },
        connections: opts.connections,
        ...opts.jobsMaxAgeMs === undefined ? {} : { jobsMaxAgeMs: opts.jobsMaxAgeMs },
        ...opts.limits === undefined ? {} : { limits: opts.limits },
        health: new UpstreamHealth(),
        headers: callHeaders,
        decodeSharedPromptParts: value => value === undefined ? [] : [value as PromptPartId],
        quarantine,
        resultRetentionMs: () => runnerTestLoad.resultRetentionMs,
        onLoadChanged: () => undefined,
        heldJobs: () => opts.heldJobs?.own ?? [],
        collectHeldJobs: () => Promise.resolve({ jobs: opts.heldJobs?.others ?? [], isComplete: true }),
    });
    for (let index = 0; index < opts.jobs; index += 1) {
        const record = createJobRecord({
            id: `job-${index}`,
            itemCount: runnerTestLoad.itemsPerJob,
            dueAtMs: clock.nowMs() + 60_000,
        });
        record.items.filter((_, item) => item % 2 === 1).forEach(item => (opts.makeBad ?? addBadPart)(item));
        const job = { record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined };
        await service.transact([], planJobWrite(job, undefined).operations);
    }
    runner.start();
    await clock.advance(500);
    const finishedResults = async () => {
        const entries = await service.list(jobKeys.resultsPrefix);
        return entries.filter(({ key }) => key.includes("/at/"));
    };
    /** Loses the leadership and gains it again. */
    const leadAgain = async () => {
        runner.stop();
        const { revision } = await service.transact([], [{ kind: "put", key: "leader", value: Buffer.from("a") }]);
        term.fence = { key: "leader", modRevision: revision };
        runner.start();
    };
    return { clock, service, runner, loadTracker, match, list, finishedResults, leadAgain };
}
