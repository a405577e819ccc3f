import type { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { RequestQuarantine } from "@knapweedwood/fleet.quarantine/requestQuarantine";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import { Leadership } from "@knapweedwood/fleet.sync/leadership";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { ProcessLease } from "@knapweedwood/fleet.sync/processLease";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { Route } from "@knapweedwood/fleet.view/route";
import { UpstreamDirectory } from "@knapweedwood/fleet.view/upstreamDirectory";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { mock } from "node:test";
import type { HeldJob } from "../src/heldJob.js";
import { HeldJobs } from "../src/heldJobs.js";
import { HoldAdmission } from "../src/holdAdmission.js";
import { JobHoldHandler } from "../src/jobHoldHandler.js";
import { JobRunner } from "../src/jobRunner.js";
import { StoredJobReader } from "../src/storedJobReader.js";
import { callHeaders } from "./callHeaders.js";
import type { MemorySegments } from "./memorySegments.js";
import { ProcessClock } from "./processClock.js";
import { SimulatedConnection } from "./simulatedConnection.js";
import type { SimulatedUpstreams } from "./simulatedUpstreams.js";

const SERVICE = "s" as ServiceName;
const SOFTWARE_VERSIONS = ["v1", "v1", "v2"] as SoftwareVersion[];
const SLOTS = 4;
const COLLECT_MS = 20;
const COLLECT_TIMEOUT_MS = 1000;
/** Maximum age of the last lease renewal with which the key-value service counts as reachable, in milliseconds. */
const REACHABLE_MS = 1800;
/** Runners that may be lost without losing a held job. */
const TOLERABLE_LOSSES = 1;

interface SimulatedRunnerOptions {
    name: string;
    clock: Clock;
    service: SnapshotKeyValueService;
    random: Random;
    upstreams: SimulatedUpstreams;
    segments: MemorySegments;
    /** Returns the other runners that are not dead, shape [runners]. */
    others: () => SimulatedRunner[];
    /** Number of the other runners, with the dead ones. */
    otherCount: number;
    /** Time for which an ended job stays readable after its acceptance, in milliseconds. */
    resultRetentionMs: number;
    onRunBegun: (itemId: string, runner: SimulatedRunner) => void;
}

/** One start of a runner process: the real runner, leadership and held jobs, with a clock and a connection of its own. */
export class SimulatedRunner {
    readonly name: string;
    readonly clock: ProcessClock;
    readonly connection: SimulatedConnection;
    readonly held: HeldJobs;
    readonly runner: JobRunner;
    readonly storedReader: StoredJobReader;
    /** Time since which the process has been connected and not frozen, Unix ms; infinity while it isn't. */
    connectedSinceMs: number;
    private readonly opts: SimulatedRunnerOptions;
    private readonly leadership: Leadership;
    private readonly lease: ProcessLease;
    private mirror: PrefixMirror | undefined;
    private readonly holdAdmission = new HoldAdmission();
    private readonly closing = new AbortController();

    constructor(opts: SimulatedRunnerOptions) {
        this.opts = opts;
        this.name = opts.name;
        this.connectedSinceMs = opts.clock.nowMs();
        this.clock = new ProcessClock(opts.clock);
        const { clock } = this;
        this.connection = new SimulatedConnection({ ...opts, process: clock });
        const common = { service: this.connection, clock, random: opts.random, logger: silentLogger };
        this.lease = new ProcessLease({ ...common, minLeaseMs: 0, onGranted: () => Promise.resolve() });
        this.leadership = new Leadership({
            ...common,
            lease: this.lease,
            self: { instanceName: opts.name as InstanceName, startedAtMs: clock.nowMs() },
            isCandidate: true,
            onGained: () => this.runner.start(),
            onLost: () => this.runner.stop(),
        });
        this.held = new HeldJobs({
            ...common,
            segments: opts.segments as unknown as FolderSegmentStore,
            onHeld: job => this.runner.onHeld(job),
            isLeading: () => this.leadership.isLeading(),
        });
        this.runner = this.createRunner(common);
        this.storedReader = new StoredJobReader(common);
    }

    /** Starts the process. */
    start(): void {
        const { leadership, closing: { signal } } = this;
        this.mirror = new PrefixMirror({
            service: this.connection,
            clock: this.clock,
            random: this.opts.random,
            logger: silentLogger,
            prefix: fleetKeys.prefix,
            onSnapshot: (entries, revision) =>
                leadership.observe(entries.find(({ key }) => key === fleetKeys.jobsLeader), revision),
            onChange: ({ puts, deletedKeys, revision }) => {
                const entry = puts.find(({ key }) => key === fleetKeys.jobsLeader);
                if (entry !== undefined || deletedKeys.includes(fleetKeys.jobsLeader)) {
                    leadership.observe(entry, revision);
                }
            },
        });
        void this.lease.run(signal);
        void this.mirror.run(signal);
        void this.held.run(signal);
    }

    /** Hands over the jobs and gives up leadership, as at an orderly stop. */
    async handOver(): Promise<void> {
        try {
            await this.runner.handOver();
            await this.leadership.resign();
            await this.lease.revoke();
        }
        catch {
            // The key-value service is unavailable; the next leader waits for the end of the lease.
        }
    }

    /** Whether this process counts the key-value service as reachable. */
    get isStoreReachable(): boolean {
        return this.lease.wasRenewedWithin(REACHABLE_MS) && Number.isFinite(this.mirror?.reachableSinceMs);
    }

    /** @param isReachableByPeer whether another process reports that it reaches the key-value service */
    createHoldHandler(isReachableByPeer: () => boolean): JobHoldHandler {
        return new JobHoldHandler({
            service: this.connection,
            clock: this.clock,
            logger: silentLogger,
            admission: this.holdAdmission,
            held: this.held,
            runner: this.runner,
            fence: () => this.leadership.fence(),
            newestLeader: () => this.leadership.leader?.fencingNumber ?? 0,
            reachability: () => ({
                isReachable: this.isStoreReachable,
                isReachableByPeer: isReachableByPeer(),
                lastReachedAtMs: this.lease.lastRenewedAtMs,
            }),
            isDraining: () => false,
        });
    }

    private createRunner(common: { service: SnapshotKeyValueService; clock: Clock; random: Random; }): JobRunner {
        const connections = new UpstreamConnections();
        const send: UpstreamConnections["send"] = (upstream, request, handler) => {
            this.opts.onRunBegun(request.requestId, this);
            return this.opts.upstreams.run(this.clock, upstream, request, handler);
        };
        mock.method(connections, "send", send);
        return new JobRunner({
            ...common,
            logger: silentLogger,
            metrics: silentMetrics,
            leadership: this.leadership,
            configuration: createConfiguration(),
            directory: createDirectory(),
            connections,
            loadTracker: new LoadTracker(),
            health: new UpstreamHealth(),
            headers: callHeaders,
            decodeSharedPromptParts: () => [],
            quarantine: new RequestQuarantine({
                ...common,
                logger: silentLogger,
                publish: () => undefined,
                listedAtMs: () => -Infinity,
                upstreamCount: () => 3,
                store: () => undefined,
                remove: () => undefined,
                onChanged: () => undefined,
            }),
            refreshConfiguration: () => Promise.resolve(true),
            resultRetentionMs: () => this.opts.resultRetentionMs,
            onLoadChanged: () => undefined,
            heldJobs: () => this.held.all(),
            collectHeldJobs: fencingNumber => this.collectHeldJobs(fencingNumber),
        });
    }

    private async collectHeldJobs(fencingNumber: number): Promise<{ jobs: HeldJob[]; isComplete: boolean; }> {
        const { others, otherCount } = this.opts;
        const answering = others().filter(({ clock, held }) => clock.isRunning && held.isLoaded);
        [this, ...answering].forEach(({ holdAdmission }) => holdAdmission.promise(fencingNumber));
        const jobs = answering.flatMap(({ held }) => held.all());
        await sleep(this.clock, answering.length === otherCount ? COLLECT_MS : COLLECT_TIMEOUT_MS);
        this.held.adopt(jobs);
        const missing = otherCount - answering.length + (this.held.isLoaded ? 0 : 1);
        return { jobs, isComplete: missing <= TOLERABLE_LOSSES };
    }
}

function createConfiguration(): ActiveConfiguration {
    const configuration = new ActiveConfiguration();
    const route = { host: "host", prefix: "/p/", kind: "batch", services: [{ service: SERVICE, weight: 1 }] };
    configuration.adopt({ version: 1, routes: [route as unknown as Route], services: [] } as never);
    return configuration;
}

function createDirectory(): UpstreamDirectory {
    const directory = new UpstreamDirectory();
    SOFTWARE_VERSIONS.forEach((softwareVersion, index) =>
        directory.put({
            id: `u-${index}` as UpstreamId,
            service: SERVICE,
            address: { host: "127.0.0.1", port: 1 },
            zone: "z" as ZoneName,
            softwareVersion,
            slots: SLOTS,
            state: "ready",
            startedAtMs: 1,
        }, 0)
    );
    return directory;
}
