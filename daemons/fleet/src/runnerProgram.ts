import { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import { collectHeldCall } from "@knapweedwood/fleet.jobs/collectHeldCall";
import { heldJobIdsCall } from "@knapweedwood/fleet.jobs/heldJobIdsCall";
import { HeldJobs } from "@knapweedwood/fleet.jobs/heldJobs";
import { HoldAdmission } from "@knapweedwood/fleet.jobs/holdAdmission";
import { holdJobCall } from "@knapweedwood/fleet.jobs/holdJobCall";
import { itemBodyCall } from "@knapweedwood/fleet.jobs/itemBodyCall";
import { JobHoldHandler } from "@knapweedwood/fleet.jobs/jobHoldHandler";
import { JobRunner } from "@knapweedwood/fleet.jobs/jobRunner";
import { resultsCall } from "@knapweedwood/fleet.jobs/resultsCall";
import { fleetSnapshotCall } from "@knapweedwood/fleet.sync/fleetSnapshotCall";
import { FleetSnapshotFile } from "@knapweedwood/fleet.sync/fleetSnapshotFile";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { decodeSharedPromptParts } from "@knapweedwood/platform.adapter/decodeSharedPromptParts";
import { drainProgressOperation } from "@knapweedwood/platform.adapter/drainProgressOperation";
import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import { AbsentRunnerSweep } from "./absentRunnerSweep.js";
import type { ActiveSettings } from "./activeSettings.js";
import { FleetProcess } from "./fleetProcess.js";
import { HeldCopies } from "./heldCopies.js";
import { HeldJobsCollector } from "./heldJobsCollector.js";
import { SnapshotKeeper } from "./snapshotKeeper.js";
import { snapshotResponseOf } from "./snapshotResponseOf.js";
import { VacantInstanceDrains } from "./vacantInstanceDrains.js";
import { versionRecordCall } from "./versionRecordCall.js";

const RETRY_DELAY_MS = 200;

/**
 * The runner: runs batch jobs while it is the leader. The runners on other instances are on standby. All runners hold
 * jobs during outages of the key-value service.
 */
export class RunnerProgram {
    private readonly settings: ActiveSettings;
    private readonly logger: Logger;
    private readonly fleet: FleetProcess;
    private readonly runner: JobRunner;
    private readonly held: HeldJobs;
    private readonly holdAdmission = new HoldAdmission();
    private readonly collector: HeldJobsCollector;
    private readonly heldCopies: HeldCopies;
    private readonly snapshots: SnapshotKeeper;
    private readonly vacantDrains: VacantInstanceDrains;
    private readonly absentRunners: AbsentRunnerSweep;
    private readonly closing = new AbortController();
    private isDraining = false;

    constructor(activeSettings: ActiveSettings, logger: Logger) {
        this.settings = activeSettings;
        const settings = activeSettings.current;
        this.logger = logger;
        if (settings.dataFolder === undefined) {
            throw new KnapweedError("SETTINGS_INVALID", "The settings of a runner must contain a data folder");
        }
        this.fleet = new FleetProcess({
            settings,
            role: "runner",
            logger,
            onLoadChanged: () => this.runner.requestDispatch(),
            waiting: () => [],
            onConfiguration: () => this.runner.requestDispatch(),
            onJobsWritten: revision => this.runner.catchUp(revision),
            onDrainRequested: () => void this.drain(),
            otherMirrors: () => this.runner.mirrors(),
            onLeadershipChanged: isLeading => isLeading ? this.runner.start() : this.runner.stop(),
        });
        this.collector = new HeldJobsCollector({
            endpoint: this.fleet.links,
            logger,
            otherRunners: () => this.fleet.peers.otherRunners(),
            tolerableLosses: () => activeSettings.current.tolerableLosses,
            isOwnDiskRead: () => this.held.isLoaded,
        });
        this.held = new HeldJobs({
            ...this.sharedOptions(),
            logger,
            segments: new FolderSegmentStore({ dataFolder: settings.dataFolder }),
            onHeld: job => this.runner.onHeld(job),
            isLeading: () => this.fleet.peers.leadership.isLeading(),
        });
        this.runner = new JobRunner({
            ...this.sharedOptions(),
            logger,
            jobsMaxAgeMs: () => this.fleet.checkTimes.maxAgeMs(activeSettings.current.jobEndBoundMs),
            isServiceReachable: () => this.fleet.reachability.isLeaseRenewed,
            refreshConfiguration: () => this.fleet.operators.refresh(),
            headers: wireHeaders,
            decodeSharedPromptParts,
            resultRetentionMs: () => activeSettings.current.resultRetentionMs,
            onLoadChanged: () => this.fleet.markLoadChanged(),
            heldJobs: () => this.held.all(),
            collectHeldJobs: async fencingNumber => {
                this.holdAdmission.promise(fencingNumber);
                const collected = await this.collector.collect(fencingNumber);
                this.held.adopt(collected.jobs);
                return collected;
            },
        });
        this.heldCopies = new HeldCopies({
            clock: this.fleet.clock,
            logger,
            endpoint: this.fleet.links,
            fencingNumber: () => this.fleet.peers.leadership.fence()?.modRevision,
            held: this.held,
            otherRunners: () => this.fleet.peers.otherRunners(),
            copies: () => activeSettings.current.tolerableLosses + 1,
        });
        this.snapshots = new SnapshotKeeper({
            clock: this.fleet.clock,
            logger,
            known: () => this.fleet.knowledge.snapshot(),
            file: new FleetSnapshotFile({ dataFolder: settings.dataFolder }),
        });
        const { peers, operators } = this.fleet;
        this.vacantDrains = new VacantInstanceDrains({
            clock: this.fleet.clock,
            logger,
            isLeading: () => peers.leadership.isLeading(),
            requested: () => operators.drainRequests(),
            hasProcess: instance => peers.hasProcess(instance),
            mayHoldJobs: instance => peers.absentRunners().some(({ member }) => member.instanceName === instance),
            report: instance => this.reportDrainProgress(instance, true),
        });
        this.absentRunners = new AbsentRunnerSweep({
            clock: this.fleet.clock,
            logger,
            isLeading: () => peers.leadership.isLeading(),
            knowsAllJobs: () => this.runner.knowsAllJobs && this.fleet.reachability.areHeldJobsWritten,
            resultRetentionMs: () => activeSettings.current.resultRetentionMs,
            absentRunners: () => peers.absentRunners(),
            remove: runner => peers.removeRunner(runner),
        });
        this.handleCalls();
    }

    /** Starts to follow the fleet, to serve links and to write held jobs. Rejects if a port can't be opened. */
    async start(): Promise<void> {
        // Loaded before the first listing, so that a replica that lags behind can't bring back an older configuration.
        const stored = await this.snapshots.load();
        const name = this.settings.current.instanceName;
        this.fleet.operators.adoptFrom({ kind: "disk", name }, stored?.operators ?? []);
        await this.fleet.start();
        void this.snapshots.run(this.closing.signal);
        void this.heldCopies.run(this.closing.signal);
        void this.vacantDrains.run(this.closing.signal);
        void this.absentRunners.run(this.closing.signal);
        this.held.run(this.closing.signal).catch((thrown: unknown) => {
            const error = toKnapweedError(thrown);
            this.logger.error("held-jobs-failed", { code: error.code, message: error.message });
        });
    }

    /** Hands over the jobs and closes. */
    async stop(): Promise<void> {
        await this.handOver();
        this.closing.abort();
        await this.fleet.links.close(0);
        await this.fleet.stop();
    }

    private async handOver(): Promise<void> {
        await this.runner.handOver();
        await this.fleet.peers.leadership.resign();
    }

    /**
     * Hands over the jobs, waits until all data on this instance is stored elsewhere too, and reports the progress to
     * the operators.
     */
    private async drain(): Promise<void> {
        if (this.isDraining) {
            return;
        }
        this.isDraining = true;
        this.logger.info("emptying-requested");
        const { instanceName } = this.settings.current;
        await this.retryUntilDone(() => this.reportDrainProgress(instanceName, false));
        await this.retryUntilDone(() => this.handOver());
        while (this.held.count !== 0) {
            await sleep(this.fleet.clock, RETRY_DELAY_MS);
        }
        await this.retryUntilDone(() => this.fleet.peers.retire());
        await this.retryUntilDone(() => this.reportDrainProgress(instanceName, true));
        this.logger.info("emptied");
    }

    private async reportDrainProgress(instanceName: InstanceName, isDrained: boolean): Promise<void> {
        await this.fleet.keyValueService.transact([], [drainProgressOperation(instanceName, isDrained)]);
    }

    /** Retries a step until it succeeds. */
    private async retryUntilDone(step: () => Promise<void>): Promise<void> {
        for (let isDone = false; !isDone;) {
            try {
                await step();
                isDone = true;
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.logger.info("emptying-step-failed", { code: error.code, message: error.message });
                await sleep(this.fleet.clock, RETRY_DELAY_MS);
            }
        }
    }

    private handleCalls(): void {
        const { runner, snapshots } = this;
        this.fleet.links.handle(fleetSnapshotCall, async function*(request) {
            const snapshot = snapshotResponseOf(request, snapshots.current());
            yield snapshot === undefined ? {} : { snapshot };
        });
        const { upstreams } = this.fleet;
        this.fleet.links.handle(versionRecordCall, async function*() {
            const record = upstreams.versionRecord();
            yield record === undefined ? {} : { record };
        });
        this.fleet.links.handle(resultsCall, async function*(request, context) {
            const page = await runner.reader.results({ ...request, signal: context.signal });
            yield page === undefined ? {} : { page };
        });
        this.fleet.links.handle(itemBodyCall, async function*(request) {
            const body = await runner.reader.itemBody(request);
            yield body === undefined ? {} : { body };
        });
        const { held, holdAdmission } = this;
        this.fleet.links.handle(collectHeldCall, async function*({ fencingNumber }) {
            holdAdmission.promise(fencingNumber);
            const jobs = await held.collect();
            yield* jobs.map(job => ({ job }));
        });
        this.fleet.links.handle(heldJobIdsCall, async function*() {
            yield { jobIds: held.all().map(({ record }) => record.jobId) };
        });
        const holdHandler = this.createHoldHandler();
        this.fleet.links.handle(holdJobCall, async function*(request) {
            yield await holdHandler.handle(request);
        });
    }

    private createHoldHandler(): JobHoldHandler {
        const { leadership } = this.fleet.peers;
        return new JobHoldHandler({
            ...this.sharedOptions(),
            logger: this.logger,
            admission: this.holdAdmission,
            held: this.held,
            runner: this.runner,
            fence: () => leadership.fence(),
            newestLeader: () => leadership.leader?.fencingNumber ?? 0,
            reachability: () => this.fleet.reachability.current,
            isDraining: () => this.isDraining,
        });
    }

    private sharedOptions() {
        const {
            keyValueService: service,
            clock,
            random,
            connections,
            loadTracker,
            health,
            speeds,
            limits,
            metrics,
            quarantine,
        } = this.fleet;
        const { leadership } = this.fleet.peers;
        const { configuration } = this.fleet.operators;
        const { directory } = this.fleet.upstreams;
        return {
            service,
            clock,
            random,
            metrics,
            leadership,
            configuration,
            directory,
            connections,
            loadTracker,
            health,
            speeds,
            limits,
            quarantine,
        };
    }
}
