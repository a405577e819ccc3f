import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { LoadPeer } from "@knapweedwood/fleet.load/loadPeer";
import type { Suspicion } from "@knapweedwood/fleet.quarantine/suspicion";
import type { StreamPeer } from "@knapweedwood/fleet.streams/streamPeer";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import { Leadership } from "@knapweedwood/fleet.sync/leadership";
import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import { MemberTable } from "@knapweedwood/fleet.sync/memberTable";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { ProcessLease } from "@knapweedwood/fleet.sync/processLease";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { FollowerContext } from "./followerContext.js";
import { isPreferredRelay } from "./isPreferredRelay.js";
import type { RunnerRecord } from "./runnerRecord.js";
import { RunnerRecords } from "./runnerRecords.js";

const ANNOUNCE_RETRY_MS = 500;
/** Minimum time between lookups of the entries of unknown processes that send reports, in milliseconds. */
const LOOKUP_INTERVAL_MS = 5000;
/** Time for which a count of the processes is used, in milliseconds. */
const COUNT_VALID_MS = 100;

interface PeerFollowerOptions extends FollowerContext {
    /** Returns the age at which the mirror is checked, in milliseconds. It isn't checked without this. */
    maxAgeMs?: () => number;
    self: MemberRecord;
    minLeaseMs: number;
    /** Called when this process becomes or is no longer the leader, which runs batch jobs. Only called on runners. */
    onLeadershipChanged: (isLeading: boolean) => void;
    /** Called with the stored suspicions of requests and prompt parts, shape [suspicions]. */
    onSuspicions: (suspicions: Suspicion[]) => void;
}

/** Writes the entry of this process under its lease, and follows the entries of the other processes and the leader. */
export class PeerFollower {
    readonly mirror: PrefixMirror;
    readonly lease: ProcessLease;
    readonly leadership: Leadership;
    private readonly opts: PeerFollowerOptions;
    private readonly members = new MemberTable();
    private readonly runnerRecords = new RunnerRecords();
    private isRetired = false;
    private lookedUpAtMs = -Infinity;
    private countedSenders: readonly InstanceName[] = [];
    private countedGateways: readonly InstanceName[] = [];
    private countedAtMs = -Infinity;

    constructor(opts: PeerFollowerOptions) {
        this.opts = opts;
        const { instanceName, startedAtMs, role } = opts.self;
        this.lease = new ProcessLease({ ...opts, onGranted: leaseId => this.announce(leaseId) });
        this.leadership = new Leadership({
            ...opts,
            lease: this.lease,
            self: { instanceName, startedAtMs },
            isCandidate: role === "runner",
            onGained: () => opts.onLeadershipChanged(true),
            onLost: () => opts.onLeadershipChanged(false),
        });
        this.mirror = new PrefixMirror({
            ...opts,
            prefix: fleetKeys.prefix,
            onSnapshot: (entries, revision) => this.onSnapshot(entries, revision),
            onChange: batch => this.onChange(batch),
        });
    }

    private get ownKey(): string {
        return fleetKeys.member(this.opts.self.instanceName);
    }

    /** Returns the other processes as partners in the exchange of load, shape [processes]. */
    loadPeers(): LoadPeer[] {
        return this.others().map(member => ({
            instanceName: member.instanceName,
            zone: member.zone,
            address: { host: member.host, port: member.loadPort },
            placesByLoad: this.placesByLoad(member),
            isPreferredRelay: isPreferredRelay(member),
        }));
    }

    /**
     * Returns the other processes that keep origins of streams, shape [processes].
     *
     * @param isLive whether a process was heard of a short time ago
     */
    streamPeers(isLive: (instanceName: InstanceName) => boolean): StreamPeer[] {
        return this.others().flatMap(({ instanceName, role, zone, host, streamPort }) =>
            streamPort === undefined
                ? []
                : [{
                    instanceName,
                    zone,
                    address: { host, port: streamPort },
                    isLive: isLive(instanceName),
                    isRunner: role === "runner",
                }]
        );
    }

    /** Returns the addresses at which the other processes receive suspicions of requests and prompt parts, shape [processes]. */
    suspicionPeers(): HostPort[] {
        return this.others().flatMap(({ host, suspicionPort }) =>
            suspicionPort === undefined ? [] : [{ host, port: suspicionPort }]
        );
    }

    /** Returns the names of the other gateways, shape [gateways]. The same array is returned until they are counted again. */
    otherGateways(): readonly InstanceName[] {
        this.countPeers();
        return this.countedGateways;
    }

    /** Returns the names of the other processes that send requests or items to upstreams, shape [processes]. As above. */
    otherSenders(): readonly InstanceName[] {
        this.countPeers();
        return this.countedSenders;
    }

    /** Number of other processes that place requests or items by load. Read for each request, so it is not recounted. */
    get placingPeerCount(): number {
        return this.otherSenders().length;
    }

    /** Whether this process places requests or items by load. */
    get placesLoad(): boolean {
        return this.placesByLoad(this.opts.self);
    }

    /**
     * Position of this process among those that place requests or items by load, in the order of their names; infinity if it
     * isn't among them.
     */
    get placingRank(): number {
        const { instanceName } = this.opts.self;
        return this.placesLoad ? this.otherSenders().filter(name => name < instanceName).length : Infinity;
    }

    /** Number of known processes, including this one. */
    get count(): number {
        return this.list().length;
    }

    /** Returns the zone of a process; undefined if the process is unknown. */
    zoneOf(instanceName: InstanceName): ZoneName | undefined {
        return this.members.get(instanceName)?.zone;
    }

    /** Whether a process of this instance is listed, or was a short time ago. */
    hasProcess(instanceName: InstanceName): boolean {
        return this.list().some(member => member.instanceName === instanceName);
    }

    /** Lists the entries again if a process that sends reports is unknown. A silent watch may have missed its entry. */
    lookUpIfUnknown(instanceName: InstanceName): void {
        const nowMs = this.opts.clock.nowMs();
        if (nowMs >= this.lookedUpAtMs + LOOKUP_INTERVAL_MS && this.members.get(instanceName) === undefined) {
            this.lookedUpAtMs = nowMs;
            this.mirror.catchUp(this.mirror.revision + 1);
        }
    }

    /** Returns the addresses on which runners accept links, shape [runners]. */
    runners(): HostPort[] {
        return this.list().filter(member => member.role === "runner").map(toLinkAddress);
    }

    /** Returns the address on which a runner accepts links; undefined if the process is unknown or a gateway. */
    runnerAddress(instanceName: InstanceName): HostPort | undefined {
        const member = this.members.get(instanceName);
        return member?.role === "runner" ? toLinkAddress(member) : undefined;
    }

    /**
     * Returns the addresses on which the runners without this process accept links, shape [runners]. Among them are those
     * that have no process now and may have held jobs on their disks.
     */
    otherRunners(): HostPort[] {
        const runners = [
            ...this.runnerRecords.all().map(({ member }) => member),
            ...this.list().filter(member => member.role === "runner"),
        ];
        const byName = new Map(runners.map(member => [member.instanceName, member]));
        byName.delete(this.opts.self.instanceName);
        return [...byName.values()].map(toLinkAddress);
    }

    /** Returns the records of the runners without a process, shape [runners]. */
    absentRunners(): RunnerRecord[] {
        return this.runnerRecords.all().filter(({ member }) => !this.hasProcess(member.instanceName));
    }

    /** Removes the record of a runner. Rejects if it has been written again, or if the key-value service fails. */
    async removeRunner({ member, modRevision }: RunnerRecord): Promise<void> {
        const key = fleetKeys.runner(member.instanceName);
        const { succeeded } = await this.opts.service.transact([{ key, modRevision }], [{ kind: "delete", key }]);
        if (!succeeded) {
            throw new KnapweedError(
                "RUNNER_RECORD_CHANGED",
                "The record of the runner was written or removed meanwhile",
                {
                    outcome: "not-run",
                },
            );
        }
    }

    /** Removes the record of this runner, which holds no jobs any more. Rejects if the key-value service fails. */
    async retire(): Promise<void> {
        this.isRetired = true;
        const key = fleetKeys.runner(this.opts.self.instanceName);
        await this.opts.service.transact([], [{ kind: "delete", key }]);
    }

    /** Returns the address on which the leader accepts links; undefined if there is no known leader. */
    leaderAddress(): HostPort | undefined {
        const leader = this.leadership.leader;
        const member = this.list().find(candidate => candidate.instanceName === leader?.instanceName);
        return member === undefined ? undefined : toLinkAddress(member);
    }

    /** Gateways place requests and the leader places items. The other runners are on standby. */
    private placesByLoad(member: MemberRecord): boolean {
        return member.role === "gateway" || member.instanceName === this.leadership.leader?.instanceName;
    }

    private countPeers(): void {
        const nowMs = this.opts.clock.nowMs();
        if (nowMs >= this.countedAtMs + COUNT_VALID_MS) {
            this.countedAtMs = nowMs;
            const others = this.others();
            this.countedSenders = others.filter(member => this.placesByLoad(member)).map(member => member.instanceName);
            this.countedGateways = others.filter(member => member.role === "gateway")
                .map(member => member.instanceName);
        }
    }

    private others(): MemberRecord[] {
        return this.list().filter(member => member.instanceName !== this.opts.self.instanceName);
    }

    private list(): MemberRecord[] {
        return this.members.list(this.opts.clock.nowMs());
    }

    private async announce(leaseId: string): Promise<void> {
        const value = encodeRecord(this.opts.self);
        const { instanceName, role } = this.opts.self;
        await this.opts.service.transact([], [
            { kind: "put", key: this.ownKey, value, leaseId },
            ...role === "runner" && !this.isRetired
                ? [{ kind: "put", key: fleetKeys.runner(instanceName), value } as const]
                : [],
        ]);
    }

    /**
     * Writes the missing entry of this process again. A delayed write may have bound the entry to an earlier lease,
     * whose end then removed it.
     */
    private announceAgain(): void {
        const leaseId = this.lease.heldId;
        if (leaseId === undefined) {
            return;
        }
        this.opts.logger.info("announced-again", { leaseId });
        this.announce(leaseId).catch((thrown: unknown) => {
            this.opts.logger.warn("announcement-failed", { code: toKnapweedError(thrown).code });
            this.opts.clock.setTimer(ANNOUNCE_RETRY_MS, () => this.announceAgain());
        });
    }

    private onSnapshot(entries: readonly KeyValueEntry[], revision: number): void {
        const members = entries.filter(entry => entry.key.startsWith(fleetKeys.membersPrefix));
        this.members.replace(members, this.opts.clock.nowMs());
        this.runnerRecords.replace(entries);
        if (!members.some(entry => entry.key === this.ownKey)) {
            this.announceAgain();
        }
        this.leadership.observe(entries.find(entry => entry.key === fleetKeys.jobsLeader), revision);
        this.applySuspicions(entries);
    }

    private onChange(batch: WatchBatch): void {
        batch.deletedKeys.forEach(key => this.members.markExpired(key, this.opts.clock.nowMs()));
        batch.puts
            .filter(entry => entry.key.startsWith(fleetKeys.membersPrefix))
            .forEach(entry => this.members.put(entry));
        this.runnerRecords.apply(batch);
        if (batch.deletedKeys.includes(this.ownKey)) {
            this.announceAgain();
        }
        const leader = batch.puts.find(entry => entry.key === fleetKeys.jobsLeader);
        if (leader !== undefined || batch.deletedKeys.includes(fleetKeys.jobsLeader)) {
            this.leadership.observe(leader, batch.revision);
        }
        this.applySuspicions(batch.puts);
    }

    private applySuspicions(entries: readonly KeyValueEntry[]): void {
        const stored = entries.filter(entry => entry.key.startsWith(fleetKeys.suspicionsPrefix));
        if (stored.length > 0) {
            this.opts.onSuspicions(stored.map(entry => decodeRecord<Suspicion>(entry.value)));
        }
    }
}

function toLinkAddress({ host, linkPort }: MemberRecord): HostPort {
    return { host, port: linkPort };
}
