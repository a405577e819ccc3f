import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import { Leadership } from "@knapweedwood/fleet.sync/leadership";
import type { MemberRecord } from "@knapweedwood/fleet.sync/memberRecord";
import { MemberTable } from "@knapweedwood/fleet.sync/memberTable";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { ProcessLease } from "@knapweedwood/fleet.sync/processLease";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { FollowerContext } from "./followerContext.js";

const ANNOUNCE_RETRY_MS = 500;
/** How often the entry of a process that sends reports without one is looked for, in milliseconds. */
const LOOKUP_INTERVAL_MS = 5000;
/** How long changes are gathered, since processes start and end in groups, in milliseconds. */
const COALESCE_MS = 100;

interface PeerFollowerOptions extends FollowerContext {
    self: MemberRecord;
    minLeaseMs: number;
    /** Called when this process gains or loses the run of batch jobs; only where it is a runner. */
    onLeadershipChanged: (isLeading: boolean) => void;
}

/** Announces this process under its lease and follows the others, the leader among them. */
export class PeerFollower {
    readonly mirror: PrefixMirror;
    readonly lease: ProcessLease;
    readonly leadership: Leadership;
    private readonly opts: PeerFollowerOptions;
    private readonly members = new MemberTable();
    private lookedUpAtMs = -Infinity;

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
            coalesceMs: COALESCE_MS,
            onSnapshot: (entries, revision) => this.onSnapshot(entries, revision),
            onChange: batch => this.onChange(batch),
        });
    }

    private get ownKey(): string {
        return fleetKeys.member(this.opts.self.instanceName);
    }

    /** Where processes that place by load expect reports, shape [processes]. */
    placingPeers(): HostPort[] {
        return this.others().filter(member => this.placesByLoad(member)).map(toLoadAddress);
    }

    /** Where the other processes expect reports, shape [processes]. */
    nonPlacingPeers(): HostPort[] {
        return this.others().filter(member => !this.placesByLoad(member)).map(toLoadAddress);
    }

    /** Processes known, this one among them. */
    get count(): number {
        return this.list().length;
    }

    /** The zone of a process; undefined where it isn't known. */
    zoneOf(instanceName: InstanceName): ZoneName | undefined {
        return this.members.get(instanceName)?.zone;
    }

    /** Makes sure that a process which sends reports is known: a silent watch may have missed its entry. */
    lookUpIfUnknown(instanceName: InstanceName): void {
        const nowMs = this.opts.clock.nowMs();
        if (nowMs >= this.lookedUpAtMs + LOOKUP_INTERVAL_MS && this.members.get(instanceName) === undefined) {
            this.lookedUpAtMs = nowMs;
            this.mirror.catchUp(this.mirror.revision + 1);
        }
    }

    /** Where runners accept links, shape [runners]. */
    runners(): HostPort[] {
        return this.list().filter(member => member.role === "runner").map(toLinkAddress);
    }

    /** Where the process that runs jobs accepts links; undefined where none is known. */
    leaderAddress(): HostPort | undefined {
        const leader = this.leadership.leader;
        const member = this.list().find(candidate => candidate.instanceName === leader?.instanceName);
        return member === undefined ? undefined : toLinkAddress(member);
    }

    /** Gateways place requests, the leading runner places items; the other runners stand by. */
    private placesByLoad(member: MemberRecord): boolean {
        return member.role === "gateway" || member.instanceName === this.leadership.leader?.instanceName;
    }

    private others(): MemberRecord[] {
        return this.list().filter(member => member.instanceName !== this.opts.self.instanceName);
    }

    private list(): MemberRecord[] {
        return this.members.list(this.opts.clock.nowMs());
    }

    private async announce(leaseId: string): Promise<void> {
        const value = encodeRecord(this.opts.self);
        await this.opts.service.transact([], [{ kind: "put", key: this.ownKey, value, leaseId }]);
    }

    /** An announcement that took effect late, under a lease that has ended since, takes the entry of the living with it. */
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
        if (!members.some(entry => entry.key === this.ownKey)) {
            this.announceAgain();
        }
        this.leadership.observe(entries.find(entry => entry.key === fleetKeys.jobsLeader), revision);
    }

    private onChange(batch: WatchBatch): void {
        batch.deletedKeys.forEach(key => this.members.markExpired(key, this.opts.clock.nowMs()));
        batch.puts
            .filter(entry => entry.key.startsWith(fleetKeys.membersPrefix))
            .forEach(entry => this.members.put(entry));
        if (batch.deletedKeys.includes(this.ownKey)) {
            this.announceAgain();
        }
        const leader = batch.puts.find(entry => entry.key === fleetKeys.jobsLeader);
        if (leader !== undefined || batch.deletedKeys.includes(fleetKeys.jobsLeader)) {
            this.leadership.observe(leader, batch.revision);
        }
    }
}

function toLoadAddress({ host, loadPort }: MemberRecord): HostPort {
    return { host, port: loadPort };
}

function toLinkAddress({ host, linkPort }: MemberRecord): HostPort {
    return { host, port: linkPort };
}
