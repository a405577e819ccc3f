import { sleep } from "@knapweedwood/core.clock/sleep";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { FallbackJobReader } from "@knapweedwood/fleet.gateway/fallbackJobReader";
import type { GatewayContext } from "@knapweedwood/fleet.gateway/gatewayContext";
import { GatewayServer } from "@knapweedwood/fleet.gateway/gatewayServer";
import { JobRoutes } from "@knapweedwood/fleet.gateway/jobRoutes";
import { ReadinessServer } from "@knapweedwood/fleet.gateway/readinessServer";
import { JobAcceptor } from "@knapweedwood/fleet.jobs/jobAcceptor";
import { StoredJobReader } from "@knapweedwood/fleet.jobs/storedJobReader";
import { connectionShareOf } from "@knapweedwood/fleet.load/connectionShareOf";
import { DisplacementWaits } from "@knapweedwood/fleet.load/displacementWaits";
import { LeastLoadedPlacement } from "@knapweedwood/fleet.load/leastLoadedPlacement";
import { MeanSlowness } from "@knapweedwood/fleet.load/meanSlowness";
import { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import { ServiceTimes } from "@knapweedwood/fleet.load/serviceTimes";
import { MemoryBudget } from "@knapweedwood/fleet.memory/memoryBudget";
import { memoryBudgetBytes } from "@knapweedwood/fleet.memory/memoryBudgetBytes";
import { PromptCacheCost } from "@knapweedwood/fleet.prompts/promptCacheCost";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { PlatformCallerProtocol } from "@knapweedwood/platform.adapter/platformCallerProtocol";
import type { ActiveSettings } from "./activeSettings.js";
import { FleetProcess } from "./fleetProcess.js";
import { LinkJobHolder } from "./linkJobHolder.js";
import { LinkJobReader } from "./linkJobReader.js";
import { SnapshotLoader } from "./snapshotLoader.js";
import { VersionConfirmation } from "./versionConfirmation.js";

/** Time in which the load balancer detects that a process is no longer ready, in milliseconds. */
const BALANCER_DETECTION_MS = 2500;
/** Part of the stop grace reserved for shutdown after the last request, in milliseconds. */
const STOP_MARGIN_MS = 700;
const STOP_POLL_MS = 50;
/** Time for the answers to requests that didn't end in time to reach their callers, in milliseconds. */
const LAST_ANSWERS_MS = 200;
/** Maximum time that requests wait for the configuration and the upstreams after a start, in milliseconds. */
const MAX_START_WAIT_MS = 400;
const DISPATCH_INTERVAL_MS = 20;

/** The gateway: serves callers' requests. */
export class GatewayProgram {
    private readonly settings: ActiveSettings;
    private readonly fleet: FleetProcess;
    private readonly server: GatewayServer;
    private readonly readiness: ReadinessServer;
    private readonly requestQueue: RequestQueue;
    private readonly displacementWaits: DisplacementWaits;
    private readonly promptCaches: PromptCacheCost;
    private readonly snapshotLoader: SnapshotLoader;
    private readonly closing = new AbortController();
    /** Time at which this process ends what is still open, on the clock; infinity unless it is stopping. */
    private stopsAtMs = Infinity;

    constructor(activeSettings: ActiveSettings, logger: Logger) {
        this.settings = activeSettings;
        const settings = activeSettings.current;
        const protocol = new PlatformCallerProtocol();
        this.fleet = new FleetProcess({
            settings,
            role: "gateway",
            logger,
            onLoadChanged: () => this.dispatchRequests(),
            waiting: () => this.requestQueue.waitingCounts(),
            onConfiguration: () => this.server.applyLimits(this.fleet.operators.configuration.current!.limits),
            onJobsWritten: () => undefined,
            onUpstreamLeft: id => this.promptCaches.forget(id),
            onDrainRequested: () => undefined,
            onLeadershipChanged: () => undefined,
        });
        const { clock, random, loadTracker, connections, health, speeds, limits, metrics } = this.fleet;
        const { configuration } = this.fleet.operators;
        const usableUpstreams = (service: ServiceName) => this.fleet.upstreams.usable(service, undefined);
        const meanSlowness = new MeanSlowness({ clock, speeds, usableUpstreams });
        const serviceTimes = new ServiceTimes({ meanSlowness: service => meanSlowness.of(service) });
        this.promptCaches = new PromptCacheCost({
            speeds,
            usableUpstreams,
            processes: () => this.fleet.peers.placingPeerCount + 1,
        });
        this.requestQueue = new RequestQueue({
            clock,
            random,
            loadTracker,
            serviceTimes,
            placement: new LeastLoadedPlacement({
                loadTracker,
                random,
                zone: settings.zone,
                connectionShare: service => this.connectionShare(service),
                placingPeers: () => this.fleet.peers.placingPeerCount,
                speeds,
                limits,
                cost: this.promptCaches,
            }),
            limits,
            usableUpstreams: (service, softwareVersion) => this.fleet.upstreams.usable(service, softwareVersion),
            teams: () => configuration.current?.teams,
        });
        this.displacementWaits = new DisplacementWaits({ clock, loadTracker });
        const versions = new VersionConfirmation({
            clock,
            upstreams: this.fleet.upstreams,
            refreshConfiguration: () => this.fleet.operators.refresh(),
        });
        const context: GatewayContext = {
            clock,
            random,
            logger,
            metrics,
            configuration,
            isConfigurationCurrent: () => this.fleet.isConfigurationCurrent,
            connections,
            loadTracker,
            health,
            serviceTimes,
            speeds,
            limits,
            requestQueue: this.requestQueue,
            displacementWaits: this.displacementWaits,
            memory: new MemoryBudget({ limitBytes: memoryBudgetBytes(settings.memoryMb) }),
            promptCaches: this.promptCaches,
            quarantine: this.fleet.quarantine,
            rateLimiter: this.fleet.rateLimiter,
            origins: this.fleet.streamOrigins,
            onUpstreamLeaving: upstream => this.fleet.upstreams.onLeaving(upstream),
            soleVersion: (service, sinceMs) => versions.soleVersion(service, sinceMs),
            headers: protocol.headers,
            decodeSharedPromptParts: value => protocol.decodeSharedPromptParts(value),
            decodePromptParts: value => protocol.decodePromptParts(value),
            decodeMaxTokens: value => protocol.decodeMaxTokens(value),
            onLoadChanged: () => this.fleet.markLoadChanged(),
            whenInitialized: () => this.fleet.whenInitialized(MAX_START_WAIT_MS),
            isStopping: () => this.isStopping,
            stopsAtMs: () => this.stopsAtMs,
        };
        const leaderJobs = new LinkJobReader({
            endpoint: this.fleet.links,
            leader: () => this.fleet.peers.leaderAddress(),
        });
        const jobs = new JobRoutes({
            logger,
            protocol,
            acceptor: new JobAcceptor({
                service: this.fleet.keyValueService,
                clock,
                logger,
                holder: new LinkJobHolder({
                    endpoint: this.fleet.links,
                    clock,
                    logger,
                    leader: () => this.fleet.peers.leaderAddress(),
                    runners: () => this.fleet.peers.runners(),
                    copies: () => activeSettings.current.tolerableLosses + 1,
                }),
                areHeldJobsWritten: () => this.fleet.reachability.areHeldJobsWritten,
                isKnownToLeader: (jobId, caller) => leaderJobs.isKnown(jobId, caller),
                isTokenCountComplete: () => this.fleet.reachability.isTokenCountComplete,
                maxItemHeadBytes: () => configuration.current?.limits.maxHeaderBytes ?? Infinity,
            }),
            reader: new FallbackJobReader({
                logger,
                leader: leaderJobs,
                stored: new StoredJobReader({ service: this.fleet.keyValueService }),
            }),
            onJobWritten: revision => this.fleet.markJobsWritten(revision),
            isConfigurationCurrent: () => this.fleet.operators.mirror.isCurrent,
        });
        const linkPort = settings.peerPorts[1]!;
        this.snapshotLoader = new SnapshotLoader({
            endpoint: this.fleet.links,
            clock,
            logger,
            seeds: settings.seedHosts.map(host => ({ host, port: linkPort })),
            isListed: () => this.fleet.knowledge.isListed,
            seed: (source, snapshot) => this.fleet.knowledge.seed(source, snapshot),
        });
        this.server = new GatewayServer({ context, protocol, jobs });
        this.readiness = new ReadinessServer({
            path: protocol.readinessPath,
            isReady: () => this.fleet.isInitialized && !this.fleet.reachability.isIsolated && !this.isStopping,
        });
    }

    /** Starts to serve callers and the readiness check. Rejects if a port can't be opened. */
    async start(): Promise<void> {
        await this.fleet.start();
        void this.snapshotLoader.run(this.closing.signal);
        const { callersAddress, readinessAddress } = this.settings.current;
        await this.server.listen(callersAddress!);
        await this.readiness.listen(readinessAddress!);
        this.dispatchPeriodically();
    }

    /**
     * Stops accepting connections, completes open requests within the stop grace, and closes. Requests that may not end in that
     * time are rejected from now on.
     */
    async stop(): Promise<void> {
        const { clock } = this.fleet;
        const { stopGraceMs } = this.settings.current;
        this.closing.abort();
        this.stopsAtMs = clock.nowMs() + stopGraceMs - STOP_MARGIN_MS;
        await sleep(clock, Math.min(BALANCER_DETECTION_MS, stopGraceMs / 3));
        this.server.stopAccepting();
        while (this.server.openRequestCount > 0 && clock.nowMs() < this.stopsAtMs) {
            await sleep(clock, STOP_POLL_MS);
        }
        if (this.server.openRequestCount > 0) {
            this.server.answerOpenRequests();
            await sleep(clock, LAST_ANSWERS_MS);
        }
        this.server.close();
        this.readiness.close();
        await this.fleet.stop();
    }

    private get isStopping(): boolean {
        return Number.isFinite(this.stopsAtMs);
    }

    private connectionShare(service: ServiceName): number {
        return connectionShareOf({
            maxConnections: this.fleet.operators.configuration.maxConnections(service),
            processes: this.fleet.peers.placingPeerCount + 1,
        });
    }

    /** Sends the requests that wait for a slot and now have one. */
    private dispatchRequests(): void {
        this.displacementWaits.dispatch();
        this.requestQueue.dispatch();
    }

    private dispatchPeriodically(): void {
        this.dispatchRequests();
        const dueAtMs = this.fleet.clock.nowMs() + DISPATCH_INTERVAL_MS;
        this.fleet.clock.setTimer(DISPATCH_INTERVAL_MS, () => {
            this.fleet.speeds.recordTimer(dueAtMs);
            this.dispatchPeriodically();
        });
    }
}
