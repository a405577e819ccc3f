import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { LoadBoard } from "@knapweedwood/fleet.load/loadBoard";
import { LoadExchange } from "@knapweedwood/fleet.load/loadExchange";
import type { LoadReport } from "@knapweedwood/fleet.load/loadReport";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { encodeRecord } from "@knapweedwood/fleet.sync/encodeRecord";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import type { LeaderRecord } from "@knapweedwood/fleet.sync/leaderRecord";
import { Leadership } from "@knapweedwood/fleet.sync/leadership";
import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import { MemberTable } from "@knapweedwood/fleet.sync/memberTable";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { ProcessLease } from "@knapweedwood/fleet.sync/processLease";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import { ConfigurationInForce } from "@knapweedwood/fleet.view/configurationInForce";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { UpstreamChange } from "@knapweedwood/fleet.view/upstreamChange";
import { UpstreamDirectory } from "@knapweedwood/fleet.view/upstreamDirectory";
import { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { decodeConfiguration } from "@knapweedwood/platform.adapter/decodeConfiguration";
import { decodeUpstream } from "@knapweedwood/platform.adapter/decodeUpstream";
import { emptyingRequestOf } from "@knapweedwood/platform.adapter/emptyingRequestOf";
import { PlatformKeyValueService } from "@knapweedwood/platform.adapter/platformKeyValueService";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { randomInt } from "node:crypto";

const MAX_SEED = 2 ** 31;
const HOUSEKEEPING_INTERVAL_MS = 100;
const INFORMED_POLL_MS = 5;
/** Age of the last renewed lease from which the key-value service counts as out of reach, in milliseconds. */
const IN_TOUCH_MS = 1800;
/** Time after an outage in which held jobs are written, in milliseconds. */
const SETTLE_MS = 4000;
/** Links are quiet for long stretches here: a less frequent heartbeat costs less. */
const LINK_LIMITS = { heartbeatIntervalMs: 250, idleHeartbeatIntervalMs: 2000, silentAfterMs: 700 };

interface FleetProcessOptions {
    settings: ProcessSettings;
    role: MemberRecord["role"];
    logger: Logger;
    /** Called when the load of other processes or the set of upstreams has changed. */
    onLoadChanged(): void;
    /** Online requests that wait here. */
    waiting(): LoadReport["waiting"];
    onConfiguration(): void;
    /** Called with the revision up to which another process has written jobs. */
    onJobsWritten(revision: number): void;
    /** Called when the operators want this instance emptied, perhaps more than once. */
    onEmptyingRequested(): void;
    /** Called when this process gains or loses the run of batch jobs; only where it is a runner. */
    onLead(isLeading: boolean): void;
}

/** What every process of the fleet has: its view of the fleet, kept in step, and what it tells the others. */
export class FleetProcess {
    readonly clock = new SystemClock();
    readonly random = new SeededRandom(randomInt(MAX_SEED));
    readonly configuration = new ConfigurationInForce();
    readonly directory = new UpstreamDirectory();
    readonly connections = new UpstreamConnections();
    readonly board = new LoadBoard();
    readonly health = new UpstreamHealth();
    readonly store: PlatformKeyValueService;
    readonly links: WebSocketLinkEndpoint;
    readonly leadership: Leadership;
    readonly startedAtMs = Math.round(Date.now());
    private readonly opts: FleetProcessOptions;
    private readonly members = new MemberTable();
    private readonly lease: ProcessLease;
    private readonly exchange: LoadExchange;
    private readonly configurationMirror: PrefixMirror;
    private readonly upstreamMirror: PrefixMirror;
    private readonly fleetMirror: PrefixMirror;
    private readonly closing = new AbortController();
    private sequence = 0;
    private jobsRevision = 0;
    private configurationRevision = 0;
    private upstreamsRevision = 0;

    constructor(opts: FleetProcessOptions) {
        this.opts = opts;
        const { settings, logger } = opts;
        const { clock, random } = this;
        this.store = new PlatformKeyValueService({ clock, address: settings.keyValueAddress });
        const tools = { service: this.store, clock, random, logger };
        this.lease = new ProcessLease({
            ...tools,
            minLeaseMs: settings.minLeaseMs,
            onGranted: leaseId => this.announce(leaseId),
        });
        this.leadership = new Leadership({
            ...tools,
            lease: this.lease,
            self: this.selfAsLeader(),
            isCandidate: opts.role === "runner",
            onGained: () => opts.onLead(true),
            onLost: () => opts.onLead(false),
        });
        this.configurationMirror = new PrefixMirror({
            ...tools,
            prefix: wireKeys.operators,
            onSnapshot: entries => entries.forEach(entry => this.onOperatorsEntry(entry)),
            onChange: batch => batch.puts.forEach(entry => this.onOperatorsEntry(entry)),
        });
        this.upstreamMirror = new PrefixMirror({
            ...tools,
            prefix: wireKeys.upstreams,
            onSnapshot: entries => this.onUpstreamSnapshot(entries),
            onChange: batch => this.onUpstreamChange(batch),
            onRegained: () => this.directory.onRegained(clock.nowMs()),
        });
        this.fleetMirror = new PrefixMirror({
            ...tools,
            prefix: fleetKeys.prefix,
            onSnapshot: (entries, revision) => this.onFleetSnapshot(entries, revision),
            onChange: batch => this.onFleetChange(batch),
        });
        this.exchange = new LoadExchange({
            clock,
            logger,
            host: settings.host,
            port: this.self().loadPort,
            peers: () => this.peers().filter(member => this.actsOnLoad(member)),
            distantPeers: () => this.peers().filter(member => !this.actsOnLoad(member)),
            createReport: () => this.createReport(),
            onReport: report => this.onReport(report),
        });
        this.links = new WebSocketLinkEndpoint({
            identity: {
                instanceId: settings.instanceName as string as InstanceId,
                incarnation: this.startedAtMs as Incarnation,
                kind: "entry",
                zone: settings.zone,
                region: settings.region,
            },
            clock,
            logger,
            metrics: silentMetrics,
            host: settings.host,
            port: this.self().linkPort,
            limits: LINK_LIMITS,
        });
    }

    /** Whether configuration and upstreams are known. */
    get isInformed(): boolean {
        return this.configuration.current !== undefined && this.upstreamMirror.revision > 0;
    }

    /** Resolves once the process is informed, or after `maxMs`. */
    async whenInformed(maxMs: number): Promise<void> {
        const giveUpAtMs = this.clock.nowMs() + maxMs;
        while (!this.isInformed && this.clock.nowMs() < giveUpAtMs) {
            await sleep(this.clock, INFORMED_POLL_MS);
        }
    }

    async start(): Promise<void> {
        await this.exchange.listen();
        if (this.opts.role === "runner") {
            await this.links.listen();
        }
        const { signal } = this.closing;
        [this.configurationMirror, this.upstreamMirror, this.fleetMirror].forEach(mirror => void mirror.run(signal));
        void this.lease.run(signal);
        this.housekeep();
    }

    /** Whether the key-value service answers others but not this process: callers are better off elsewhere. */
    get isIsolated(): boolean {
        return !this.lease.hasAnswered(IN_TOUCH_MS) && this.board.isAnyoneInTouch();
    }

    /** Whether jobs that were held during an outage of the key-value service have been written by now. */
    get isSettled(): boolean {
        return this.clock.nowMs() > this.fleetMirror.inTouchSinceMs + SETTLE_MS;
    }

    /** Where the process that runs jobs accepts links; undefined where none is known. */
    leadingRunner(): HostPort | undefined {
        const leader = this.leadership.leader;
        const member = this.members.list(this.clock.nowMs()).find(one => one.instanceName === leader?.instanceName);
        return member === undefined ? undefined : { host: member.host, port: member.linkPort };
    }

    /** Where runners accept links, shape [runners]. */
    runners(): HostPort[] {
        return this.members
            .list(this.clock.nowMs())
            .filter(member => member.role === "runner")
            .map(({ host, linkPort }) => ({ host, port: linkPort }));
    }

    /** Tells the others that the load of this process has changed. */
    markLoadChanged(): void {
        this.exchange.markChanged();
    }

    /** Tells the others up to which revision this process has written jobs. */
    markJobsWritten(revision: number): void {
        this.jobsRevision = Math.max(this.jobsRevision, revision);
        this.exchange.markChanged();
    }

    usableUpstreams(service: Upstream["service"]): Upstream[] {
        const nowMs = this.clock.nowMs();
        const ready = this.directory.ready(service);
        const usable = ready.filter(upstream =>
            this.health.isUsable(
                upstream.id,
                nowMs,
                this.board.ownCounts().find(c => c.upstreamId === upstream.id)?.online ?? 0,
            )
        );
        // A judgement over most of a service is more likely wrong than right.
        return usable.length * 2 > ready.length ? usable : ready;
    }

    async stop(): Promise<void> {
        this.closing.abort();
        this.exchange.close();
        this.connections.close();
        await this.lease.end().catch((error: unknown) => {
            this.opts.logger.warn("lease-not-ended", { message: (error as Error).message });
        });
        await this.store.close();
    }

    private housekeep(): void {
        if (this.closing.signal.aborted) {
            return;
        }
        const nowMs = this.clock.nowMs();
        this.board.expire(nowMs);
        this.onUpstreamChanges(this.directory.expire(nowMs));
        this.clock.setTimer(HOUSEKEEPING_INTERVAL_MS, () => this.housekeep());
    }

    private self(): MemberRecord {
        const { settings } = this.opts;
        const [loadPort, linkPort] = settings.peerPorts;
        return {
            instanceName: settings.instanceName,
            role: this.opts.role,
            zone: settings.zone,
            host: settings.host,
            loadPort: loadPort!,
            linkPort: linkPort!,
            startedAtMs: this.startedAtMs,
        };
    }

    private selfAsLeader(): LeaderRecord {
        const { instanceName, host, linkPort, startedAtMs } = this.self();
        return { instanceName, host, linkPort, startedAtMs };
    }

    private async announce(leaseId: string): Promise<void> {
        const self = this.self();
        await this.store.transact([], [{
            kind: "put",
            key: fleetKeys.member(self.instanceName),
            value: encodeRecord(self),
            leaseId,
        }]);
    }

    private peers(): (MemberRecord & HostPort)[] {
        return this.members
            .list(this.clock.nowMs())
            .filter(member => member.instanceName !== this.opts.settings.instanceName)
            .map(member => ({ ...member, port: member.loadPort }));
    }

    /** Gateways place requests, the leading runner places items; the other runners stand by. */
    private actsOnLoad(member: MemberRecord): boolean {
        return member.role === "gateway" || member.instanceName === this.leadership.leader?.instanceName;
    }

    private createReport(): LoadReport {
        this.sequence += 1;
        return {
            instanceName: this.opts.settings.instanceName,
            startedAtMs: this.startedAtMs,
            sequence: this.sequence,
            isInTouch: this.lease.hasAnswered(IN_TOUCH_MS),
            counts: this.board.ownCounts(),
            waiting: this.opts.waiting(),
            configurationRevision: this.configurationRevision,
            jobsRevision: this.jobsRevision,
            upstreamsRevision: this.upstreamsRevision,
            leader: this.leadership.leader,
        };
    }

    private onReport(report: LoadReport): void {
        const nowMs = this.clock.nowMs();
        if (!this.board.receive(report, nowMs)) {
            return;
        }
        if (report.leader !== undefined) {
            this.leadership.learn(report.leader);
        }
        if (report.jobsRevision > 0) {
            this.opts.onJobsWritten(report.jobsRevision);
        }
        this.configurationMirror.catchUp(report.configurationRevision);
        this.upstreamMirror.catchUp(report.upstreamsRevision);
        this.opts.onLoadChanged();
    }

    private onOperatorsEntry(entry: KeyValueEntry): void {
        if (entry.key === wireKeys.configuration) {
            this.onConfigurationEntry(entry);
        }
        if (emptyingRequestOf(entry.key) === this.opts.settings.instanceName) {
            this.opts.onEmptyingRequested();
        }
    }

    private onConfigurationEntry(entry: KeyValueEntry): void {
        try {
            const configuration = decodeConfiguration(entry.value);
            this.configurationRevision = Math.max(this.configurationRevision, entry.modRevision);
            if (this.configuration.adopt(configuration, this.clock.nowMs())) {
                this.opts.logger.info("configuration-in-force", {
                    version: configuration.version,
                    routes: configuration.routes.length,
                    revision: entry.modRevision,
                });
                this.opts.onConfiguration();
            }
        }
        catch (error) {
            this.opts.logger.error("configuration-unreadable", { message: (error as Error).message });
        }
    }

    private onUpstreamSnapshot(entries: readonly KeyValueEntry[]): void {
        const listed = new Set(entries.map(entry => entry.key));
        const gone = this.directory.ids().filter(id => !listed.has(`${wireKeys.upstreams}${id}`));
        this.onUpstreamChanges(this.directory.remove(gone, this.clock.nowMs()));
        entries.forEach(entry => this.onUpstreamEntry(entry));
    }

    private onUpstreamChange(batch: WatchBatch): void {
        this.upstreamsRevision = Math.max(this.upstreamsRevision, batch.revision);
        batch.puts.forEach(entry => this.onUpstreamEntry(entry));
        const gone = batch.deletedKeys.map(key => key.slice(wireKeys.upstreams.length) as UpstreamId);
        this.onUpstreamChanges(this.directory.remove(gone, this.clock.nowMs()));
    }

    private onUpstreamEntry(entry: KeyValueEntry): void {
        try {
            const change = this.directory.put(decodeUpstream(entry.key, entry.value));
            this.onUpstreamChanges(change === undefined ? [] : [change]);
        }
        catch (error) {
            this.opts.logger.warn("upstream-unreadable", { key: entry.key, message: (error as Error).message });
            const id = entry.key.slice(wireKeys.upstreams.length) as UpstreamId;
            this.onUpstreamChanges(this.directory.remove([id], this.clock.nowMs()));
        }
    }

    private onUpstreamChanges(changes: readonly UpstreamChange[]): void {
        changes.forEach(({ kind, upstream }) => {
            this.opts.logger.info("upstream-changed", {
                change: kind,
                upstream: upstream.id,
                service: upstream.service,
                state: upstream.state,
                startedAtMs: upstream.startedAtMs,
            });
            if (kind !== "changed") {
                this.health.forget(upstream.id);
            }
            if (kind === "left") {
                this.connections.forget(upstream);
            }
        });
        if (changes.length > 0) {
            this.opts.onLoadChanged();
        }
    }

    private onFleetSnapshot(entries: readonly KeyValueEntry[], revision: number): void {
        const members = entries.filter(entry => entry.key.startsWith(fleetKeys.membersPrefix));
        this.members.replace(members, this.clock.nowMs());
        this.leadership.observe(entries.find(entry => entry.key === fleetKeys.jobsLeader), revision);
    }

    private onFleetChange(batch: WatchBatch): void {
        batch.deletedKeys.forEach(key => this.members.lapse(key, this.clock.nowMs()));
        batch.puts
            .filter(entry => entry.key.startsWith(fleetKeys.membersPrefix))
            .forEach(entry => this.members.put(entry));
        const leader = batch.puts.findLast(entry => entry.key === fleetKeys.jobsLeader);
        if (leader !== undefined) {
            this.leadership.observe(leader, batch.revision);
        }
        else if (batch.deletedKeys.includes(fleetKeys.jobsLeader)) {
            this.leadership.observe(undefined, batch.revision);
        }
    }
}
