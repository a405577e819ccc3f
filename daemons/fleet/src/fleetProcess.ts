import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { LoadExchange } from "@knapweedwood/fleet.load/loadExchange";
import type { LoadReport } from "@knapweedwood/fleet.load/loadReport";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { UdpChannel } from "@knapweedwood/fleet.load/udpChannel";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { UpstreamSpeedLog } from "@knapweedwood/fleet.load/upstreamSpeedLog";
import { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import { RequestQuarantine } from "@knapweedwood/fleet.quarantine/requestQuarantine";
import { SuspicionExchange } from "@knapweedwood/fleet.quarantine/suspicionExchange";
import { StreamOriginExchange } from "@knapweedwood/fleet.streams/streamOriginExchange";
import { computeCoalesceMs } from "@knapweedwood/fleet.sync/computeCoalesceMs";
import { computeWatchWaitMs } from "@knapweedwood/fleet.sync/computeWatchWaitMs";
import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import type { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { UpstreamRequestLimiter } from "@knapweedwood/fleet.upstream-limits/upstreamRequestLimiter";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";
import { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { PrometheusMetrics } from "@knapweedwood/observability.metrics/prometheusMetrics";
import { PlatformKeyValueService } from "@knapweedwood/platform.adapter/platformKeyValueService";
import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import { FleetRateLimiter } from "@knapweedwood/routing.limits/fleetRateLimiter";
import { randomInt } from "node:crypto";
import { ConfigurationCatchUp } from "./configurationCatchUp.js";
import { createMemberRecord } from "./createMemberRecord.js";
import { EventLoopMonitor } from "./eventLoopMonitor.js";
import { FleetKnowledge } from "./fleetKnowledge.js";
import { isPreferredRelay } from "./isPreferredRelay.js";
import { KeyValueReachability } from "./keyValueReachability.js";
import { LoadReports } from "./loadReports.js";
import { MetricsServer } from "./metricsServer.js";
import { MirrorCheckTimes } from "./mirrorCheckTimes.js";
import { OperatorsFollower } from "./operatorsFollower.js";
import { otherRunners } from "./otherRunners.js";
import { PeerFollower } from "./peerFollower.js";
import { SuspicionStore } from "./suspicionStore.js";
import { UpstreamFollower } from "./upstreamFollower.js";
import { VersionRecordLoader } from "./versionRecordLoader.js";

const SEED_LIMIT = 2 ** 31;
const HOUSEKEEPING_INTERVAL_MS = 100;
const MICROSECONDS_PER_MS = 1000;
const INITIALIZATION_POLL_MS = 5;
/** Maximum time after the start for which callers wait until a runner has confirmed the configuration, in milliseconds. */
const MAX_CONFIRMATION_MS = 400;
/** Time in which the end or the start of a process is to be known, in milliseconds. */
const PROCESSES_BOUND_MS = 3000;
/** Links of the fleet are idle most of the time, so idle links send fewer heartbeats. */
const LINK_LIMITS = { heartbeatIntervalMs: 250, idleHeartbeatIntervalMs: 2000, silentAfterMs: 700 };

interface FleetProcessOptions {
    settings: ProcessSettings;
    role: MemberRecord["role"];
    logger: Logger;
    /** Called when the load at other processes or the set of upstreams has changed. */
    onLoadChanged(): void;
    /** Returns the number of online requests queued in this process, shape [services]. */
    waiting(): LoadReport["waiting"];
    /** Called when a newer configuration has become active. */
    onConfiguration(): void;
    /** Called with the revision at which another process last wrote a job. */
    onJobsWritten(revision: number): void;
    /** Called when an upstream has left. */
    onUpstreamLeft?: (id: UpstreamId) => void;
    /** Called when the operators request to drain this instance. May be called more than once. */
    onDrainRequested(): void;
    /** Called when this process becomes or is no longer the leader, which runs batch jobs. Only called on runners. */
    onLeadershipChanged(isLeading: boolean): void;
    /** Returns the mirrors of this process that aren't part of it, whose age its metrics show, shape [mirrors]. */
    otherMirrors?: () => PrefixMirror[];
}

/**
 * The parts that all processes of the fleet share: the synchronized view of the fleet, the load reports to peers, links
 * and metrics.
 */
export class FleetProcess {
    readonly clock = new SystemClock();
    readonly random = new SeededRandom(randomInt(SEED_LIMIT));
    readonly metrics = new PrometheusMetrics();
    readonly limits: UpstreamRequestLimiter;
    readonly connections: UpstreamConnections;
    readonly loadTracker = new LoadTracker();
    readonly health = new UpstreamHealth();
    readonly speeds = new UpstreamSpeeds({ clock: this.clock });
    readonly keyValueService: PlatformKeyValueService;
    readonly links: WebSocketLinkEndpoint;
    readonly peers: PeerFollower;
    readonly checkTimes = new MirrorCheckTimes({ peers: () => this.peers });
    readonly upstreams: UpstreamFollower;
    readonly operators: OperatorsFollower;
    readonly streamOrigins: StreamOriginExchange;
    readonly quarantine: RequestQuarantine;
    readonly knowledge: FleetKnowledge;
    private readonly configurationCatchUp: ConfigurationCatchUp;
    private readonly versionRecords: VersionRecordLoader;
    readonly reachability: KeyValueReachability;
    readonly rateLimiter: FleetRateLimiter;
    private readonly opts: FleetProcessOptions;
    private readonly self: MemberRecord;
    private readonly loadReports: LoadReports;
    private readonly exchange: LoadExchange;
    private readonly suspicions: SuspicionExchange;
    private readonly metricsServer: MetricsServer;
    private readonly eventLoop: EventLoopMonitor;
    private readonly speedLog: UpstreamSpeedLog;
    private readonly closing = new AbortController();

    constructor(opts: FleetProcessOptions) {
        this.opts = opts;
        const { settings, logger } = opts;
        const { clock, random, loadTracker, health, speeds } = this;
        const limits = new UpstreamRequestLimiter({
            clock,
            random,
            logger,
            instanceName: settings.instanceName,
            limitHeader: wireHeaders.requestLimit,
            senders: () => this.peers.otherSenders(),
            isLive: name => loadTracker.isLive(name),
            waitingSenders: service => loadTracker.peersWaitingFor(service),
        });
        const connections = new UpstreamConnections({
            onSent: upstream => limits.onSent(upstream),
            onResponse: (upstream, head) => {
                limits.onResponse(upstream, head);
                if (head.header(wireHeaders.leaving) !== undefined) {
                    this.upstreams.onLeaving(upstream);
                }
            },
        }, clock);
        this.limits = limits;
        this.connections = connections;
        this.speedLog = new UpstreamSpeedLog({ clock, logger, speeds });
        this.self = createMemberRecord(settings, opts.role);
        this.eventLoop = new EventLoopMonitor({ clock, logger, processorMs });
        this.metricsServer = new MetricsServer({
            metrics: this.metrics,
            host: settings.host,
            eventLoop: this.eventLoop,
            speeds: this.speeds,
            limits,
            mirrors: () => [
                ...[this.operators, this.upstreams, this.peers].map(({ mirror }) => mirror),
                ...opts.otherMirrors?.() ?? [],
            ],
        });
        this.keyValueService = new PlatformKeyValueService({
            clock,
            address: settings.keyValueAddress,
            metrics: this.metrics,
            maxValueSizeBytes: settings.maxValueSizeBytes,
        });
        const watchWaitMs = () => computeWatchWaitMs(this.peers.count);
        const coalesceMs = () => computeCoalesceMs(this.peers.count);
        const followerContext = {
            service: this.keyValueService,
            clock,
            random,
            logger,
            watchWaitMs,
            coalesceMs,
            checkDelayMs: () => this.checkTimes.delayMs(),
            onChecked: () => this.exchange.markChanged(),
            isServiceReachable: () => this.reachability.isLeaseRenewed,
            keepsEntries: true,
        } as const;
        this.peers = new PeerFollower({
            ...followerContext,
            self: this.self,
            minLeaseMs: settings.minLeaseMs,
            maxAgeMs: () => this.checkTimes.maxAgeMs(PROCESSES_BOUND_MS),
            onLeadershipChanged: isLeading => this.onLeadershipChanged(isLeading),
            onSuspicions: suspicions => this.quarantine.merge(suspicions),
        });
        this.operators = new OperatorsFollower({
            ...followerContext,
            instanceName: settings.instanceName,
            metrics: this.metrics,
            maxAgeMs: () => this.checkTimes.maxAgeMs(opts.settings.configurationBoundMs),
            onConfiguration: opts.onConfiguration,
            onDrainRequested: opts.onDrainRequested,
        });
        this.upstreams = new UpstreamFollower({
            ...followerContext,
            loadTracker,
            health,
            speeds,
            connections,
            metrics: this.metrics,
            maxAgeMs: () => this.checkTimes.maxAgeMs(opts.settings.upstreamDrainMs),
            drainMs: () => opts.settings.upstreamDrainMs,
            isKeyValueReachable: () => this.reachability.isLeaseRenewed,
            onEnded: upstream => this.quarantine.onEnded(upstream),
            onLeft: id => opts.onUpstreamLeft?.(id),
            onChanged: opts.onLoadChanged,
        });
        this.reachability = new KeyValueReachability({ clock, peers: this.peers, loadTracker });
        this.rateLimiter = new FleetRateLimiter({
            startedAtMs: clock.nowMs(),
            isLimiting: () => this.operators.configuration.current?.teams !== undefined,
            listedPeers: () => this.peers.otherGateways(),
            teamOf: teamId => this.operators.configuration.teamWithId(teamId),
            onActive: () => this.exchange.markChanged(),
        });
        this.loadReports = new LoadReports({
            clock,
            self: this.self,
            loadTracker,
            health,
            speeds,
            peers: this.peers,
            operators: this.operators,
            upstreams: this.upstreams,
            waiting: () => opts.waiting(),
            isKeyValueReachable: () => this.reachability.report(),
            rateLimiter: this.rateLimiter,
            limits,
            onJobsWritten: revision => opts.onJobsWritten(revision),
            onNewerConfiguration: peer => this.configurationCatchUp.prefer(this.peers.runnerAddress(peer)),
            onLoadChanged: () => opts.onLoadChanged(),
        });
        this.exchange = new LoadExchange({
            clock,
            logger,
            channel: new UdpChannel({ host: settings.host, port: this.self.loadPort, logger }),
            self: { ...this.self, isPreferredRelay: isPreferredRelay(this.self) },
            placesByLoad: () => this.peers.placesLoad,
            peers: () => this.peers.loadPeers(),
            createReport: () => this.loadReports.create(),
            onReport: report => this.loadReports.apply(report),
            intervalMs: () => this.rateLimiter.reportIntervalMs(clock.nowMs()),
        });
        this.streamOrigins = new StreamOriginExchange({
            clock,
            logger,
            channel: new UdpChannel({ host: settings.host, port: this.self.streamPort!, logger }),
            self: {
                instanceName: settings.instanceName,
                address: { host: settings.host, port: this.self.streamPort! },
            },
            peers: () => this.peers.streamPeers(name => this.loadTracker.isLive(name)),
        });
        const suspicionStore = new SuspicionStore({
            service: this.keyValueService,
            clock,
            logger,
            knownEntry: key => this.peers.mirror.entry(key),
        });
        this.quarantine = new RequestQuarantine({
            clock,
            random,
            logger,
            store: suspicion => suspicionStore.write(suspicion),
            remove: suspicion => suspicionStore.remove(suspicion),
            publish: changed => this.suspicions.publish(changed),
            listedAtMs: upstream => this.upstreams.listedAtMs(upstream),
            upstreamCount: service => this.upstreams.directory.ready(service).length,
            // Runs after the request whose outcome changed the quarantine has been handled.
            onChanged: () => queueMicrotask(() => opts.onLoadChanged()),
        });
        this.suspicions = new SuspicionExchange({
            clock,
            random,
            logger,
            channel: new UdpChannel({ host: settings.host, port: this.self.suspicionPort!, logger }),
            peers: () => this.peers.suspicionPeers(),
            toRepeat: () => this.quarantine.toRepeat(),
            onReceived: suspicions => this.quarantine.merge(suspicions),
        });
        this.links = new WebSocketLinkEndpoint({
            identity: {
                instanceId: settings.instanceName as string as InstanceId,
                incarnation: this.self.startedAtMs as Incarnation,
                kind: "entry",
                zone: settings.zone,
                region: settings.region,
            },
            clock,
            logger,
            metrics: this.metrics,
            host: settings.host,
            port: this.self.linkPort,
            limits: LINK_LIMITS,
        });
        this.knowledge = new FleetKnowledge(this);
        const port = this.self.linkPort;
        const seeds = settings.seedHosts.map(host => ({ host, port }));
        const linkContext = {
            clock,
            random,
            logger,
            endpoint: this.links,
            runners: () => otherRunners([...seeds, ...this.peers.runners()], { host: settings.host, port }),
        };
        this.configurationCatchUp = new ConfigurationCatchUp({
            ...linkContext,
            operators: this.operators,
            isKeyValueReachable: () => this.reachability.isLeaseRenewed,
        });
        this.versionRecords = new VersionRecordLoader({ ...linkContext, upstreams: this.upstreams });
    }

    /**
     * Whether the configuration and the upstreams are loaded. With teams, a runner is first asked for a newer
     * configuration than that of the first listing, which may contain a withdrawn key.
     */
    get isInitialized(): boolean {
        const hasTeams = this.operators.configuration.current?.teams !== undefined;
        return this.knowledge.isLoaded && (!hasTeams || this.configurationCatchUp.isConfirmed(MAX_CONFIRMATION_MS));
    }

    /** Whether this process is certain that its configuration is the newest one. */
    get isConfigurationCurrent(): boolean {
        return this.operators.mirror.isCurrent && this.reachability.isLeaseRenewed
            && this.configurationCatchUp.isConfirmed(Infinity);
    }

    /** Resolves once the configuration and the upstreams are loaded, or after `maxMs` milliseconds. */
    async whenInitialized(maxMs: number): Promise<void> {
        const timeoutAtMs = this.clock.nowMs() + maxMs;
        while (!this.isInitialized && this.clock.nowMs() < timeoutAtMs) {
            await sleep(this.clock, INITIALIZATION_POLL_MS);
        }
    }

    /** Opens the ports and starts to follow the fleet. Rejects if a port can't be opened. */
    async start(): Promise<void> {
        await this.exchange.listen();
        await this.streamOrigins.listen();
        await this.suspicions.listen();
        await this.metricsServer.listen();
        if (this.opts.role === "runner") {
            await this.links.listen();
        }
        const { signal } = this.closing;
        [this.operators, this.upstreams, this.peers].forEach(({ mirror }) => void mirror.run(signal));
        void this.peers.lease.run(signal);
        this.housekeep();
    }

    /** Notifies the peers that the load of this process has changed. */
    markLoadChanged(): void {
        this.exchange.markChanged();
    }

    /** Notifies the peers of the revision at which this process last wrote a job. */
    markJobsWritten(revision: number): void {
        this.loadReports.recordJobsWritten(revision);
        this.exchange.markChanged();
    }

    /** Revokes the lease of this process and closes its ports and connections. Does not close its links. */
    async stop(): Promise<void> {
        this.closing.abort();
        this.exchange.close();
        this.streamOrigins.close();
        this.suspicions.close();
        this.metricsServer.close();
        this.connections.close();
        await this.peers.lease.revoke().catch((error: unknown) => {
            this.opts.logger.warn("lease-not-ended", { message: (error as Error).message });
        });
        await this.keyValueService.close();
    }

    /** A new leader places items from now on, by mirrors that it has checked less often until then. */
    private onLeadershipChanged(isLeading: boolean): void {
        if (isLeading) {
            void this.upstreams.mirror.check();
            void this.operators.mirror.check();
        }
        this.opts.onLeadershipChanged(isLeading);
    }

    private housekeep(): void {
        if (this.closing.signal.aborted) {
            return;
        }
        this.loadTracker.expire(this.clock.nowMs());
        this.upstreams.expire();
        this.configurationCatchUp.tick();
        this.versionRecords.tick();
        this.speeds.expire();
        this.limits.expire();
        this.speedLog.review();
        this.quarantine.withdrawCrashes();
        const dueAtMs = this.clock.nowMs() + HOUSEKEEPING_INTERVAL_MS;
        this.clock.setTimer(HOUSEKEEPING_INTERVAL_MS, () => {
            this.eventLoop.record(dueAtMs);
            this.speeds.recordTimer(dueAtMs);
            this.housekeep();
        });
    }
}

/** Returns the processor time that this process has used, in milliseconds. */
function processorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_MS;
}
