import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { UpstreamChange } from "@knapweedwood/fleet.view/upstreamChange";
import { UpstreamDirectory } from "@knapweedwood/fleet.view/upstreamDirectory";
import type { UpstreamProcess } from "@knapweedwood/fleet.view/upstreamProcess";
import type { VersionRecord } from "@knapweedwood/fleet.view/versionRecord";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import { compactUpstreamEntry } from "@knapweedwood/platform.adapter/compactUpstreamEntry";
import { decodeUpstream } from "@knapweedwood/platform.adapter/decodeUpstream";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import type { FollowerContext } from "./followerContext.js";
import { UnreadableEntries } from "./unreadableEntries.js";

/** Time for which reports tell the other processes that an upstream leaves, in milliseconds. Some reports are lost. */
const ANNOUNCE_LEAVING_MS = 600;
/** Share of the time for which a leaving upstream serves in which streams may be resumed there. The rest is margin. */
const RESUMABLE_DRAIN_SHARE = 0.5;

interface UpstreamFollowerOptions extends FollowerContext {
    /** Returns the age at which the mirror is checked, in milliseconds. It isn't checked without this. */
    maxAgeMs?: () => number;
    loadTracker: LoadTracker;
    health: UpstreamHealth;
    speeds: UpstreamSpeeds;
    connections: UpstreamConnections;
    metrics: Metrics;
    /** Time for which an upstream serves requests after it has said that it leaves, in milliseconds. */
    drainMs: () => number;
    /** Returns whether this process has reached the key-value service a short time ago. */
    isKeyValueReachable: () => boolean;
    /** Called when a process of an upstream is no longer listed, though it hadn't said that it leaves. */
    onEnded?: (upstream: Upstream) => void;
    /** Called when an upstream has left. */
    onLeft?: (id: UpstreamId) => void;
    /** Called when the set of upstreams or the state of an upstream has changed. */
    onChanged: () => void;
}

/** Follows the entries that upstreams write to the key-value service. */
export class UpstreamFollower {
    readonly directory = new UpstreamDirectory({ onEnded: upstream => this.opts.onEnded?.(upstream) });
    readonly mirror: PrefixMirror;
    private readonly opts: UpstreamFollowerOptions;
    private readonly unreadable: UnreadableEntries;
    private lastChangeRevision = 0;
    /** Upstreams that have said to this process a short time ago that they leave, shape [upstreams]. */
    private announcedLeaving: (UpstreamProcess & { atMs: number; })[] = [];
    /** Time since which peers and then this process have seen every change, and since which this process has. */
    private inherited: { sinceMs: number; ownSinceMs: number; } | undefined;

    constructor(opts: UpstreamFollowerOptions) {
        this.opts = opts;
        this.unreadable = new UnreadableEntries(opts);
        this.mirror = new PrefixMirror({
            ...opts,
            prefix: wireKeys.upstreams,
            compact: compactUpstreamEntry,
            onSnapshot: entries => this.onSnapshot(entries),
            onChange: batch => this.onChange(batch),
            onRecovered: () => this.directory.onKeyValueReconnected(opts.clock.nowMs()),
        });
    }

    /** Revision of the last change that this process has received; 0 before the first. */
    get changeRevision(): number {
        return this.lastChangeRevision;
    }

    /**
     * Returns the upstreams of a service that may receive online requests now, shape [upstreams]: the healthy ones, or
     * all ready ones if at least half of them are unhealthy; only those of a software version if one is given.
     */
    private usableStaying(service: ServiceName, softwareVersion: SoftwareVersion | undefined): Upstream[] {
        const nowMs = this.opts.clock.nowMs();
        const ready = this.directory.ready(service).filter(upstream => isOfVersion(upstream, softwareVersion));
        const usable = ready.filter(({ id }) =>
            this.opts.health.isUsable(id, nowMs, this.opts.loadTracker.ownOnlineCount(id))
        );
        // Ejections of at least half of a service's upstreams are more likely wrong than right.
        return usable.length * 2 > ready.length ? usable : ready;
    }

    /**
     * Returns the upstreams that may receive online requests of a service now, shape [upstreams]. Those of a software
     * version that leaves may still be given a stream that only they can continue.
     */
    usable(service: ServiceName, softwareVersion: SoftwareVersion | undefined): Upstream[] {
        const staying = this.usableStaying(service, softwareVersion);
        if (softwareVersion === undefined || staying.length > 0) {
            return staying;
        }
        const sinceMs = this.opts.clock.nowMs() - this.opts.drainMs() * RESUMABLE_DRAIN_SHARE;
        return this.directory.leaving(service, sinceMs).filter(upstream => isOfVersion(upstream, softwareVersion));
    }

    /** Records that an upstream has said in a response to this process that it leaves. */
    onLeaving({ id, startedAtMs }: UpstreamProcess): void {
        const nowMs = this.opts.clock.nowMs();
        if (this.directory.markLeaving({ id, startedAtMs }, nowMs)) {
            this.opts.logger.info("upstream-leaving", { upstream: id, startedAtMs });
            this.announcedLeaving.push({ id, startedAtMs, atMs: nowMs });
        }
    }

    /** Records that an upstream has said in a response to another process that it leaves. */
    onLeavingAtPeer({ id, startedAtMs }: UpstreamProcess, peer: InstanceName): void {
        if (this.directory.markLeaving({ id, startedAtMs }, this.opts.clock.nowMs())) {
            this.opts.logger.info("upstream-leaving", { upstream: id, startedAtMs, peer });
        }
    }

    /** Returns the upstreams of which the other processes are told now that they leave, shape [upstreams]. */
    leavingToReport(): UpstreamProcess[] {
        const nowMs = this.opts.clock.nowMs();
        this.announcedLeaving = this.announcedLeaving.filter(({ atMs }) => nowMs < atMs + ANNOUNCE_LEAVING_MS);
        return this.announcedLeaving.map(({ id, startedAtMs }) => ({ id, startedAtMs }));
    }

    /**
     * Returns the one software version that has run a service since `sinceMs`; undefined if there were others, or if
     * changes of the upstreams since then may have been missed.
     */
    soleVersion(service: ServiceName, sinceMs: number): SoftwareVersion | undefined {
        return this.versionsKnownSinceMs <= sinceMs ? this.directory.soleVersion(service, sinceMs) : undefined;
    }

    /**
     * Resolves to whether the key-value service now lists no process of an upstream that this process doesn't know. Rejects
     * if the service fails.
     */
    async isListingAsKnown(): Promise<boolean> {
        const { entries } = await this.opts.service.snapshot(wireKeys.upstreams);
        return entries
            .flatMap(entry => this.decode(entry) ?? [])
            .every(upstream => this.directory.isKnown(upstream));
    }

    /** Returns what this process has seen of the software versions; undefined while it may be missing changes. */
    versionRecord(): VersionRecord | undefined {
        const sinceMs = this.versionsKnownSinceMs;
        const nowMs = this.opts.clock.nowMs();
        if (sinceMs === Infinity) {
            return undefined;
        }
        const sightings = this.directory.versionsSince(sinceMs, nowMs);
        const latest = new Map(
            sightings.map(one => [JSON.stringify([one.service, one.softwareVersion]), one] as const),
        );
        return {
            coveredForMs: nowMs - sinceMs,
            versions: [...latest.values()].map(({ service, softwareVersion, atMs }) => ({
                service,
                softwareVersion,
                seenAgoMs: nowMs - atMs,
            })),
        };
    }

    /**
     * Adds what a peer has seen of the software versions. Only a peer that was asked after this process had begun to
     * receive every change has seen what came before without a gap.
     */
    adoptVersionRecord(record: VersionRecord, askedAtMs: number): void {
        const nowMs = this.opts.clock.nowMs();
        const ownSinceMs = this.mirror.gaplessSinceMs;
        if (ownSinceMs > askedAtMs) {
            return;
        }
        // The delay of the record makes these times too late. Versions then count as seen later, which is safe.
        record.versions.forEach(({ service, softwareVersion, seenAgoMs }) =>
            this.directory.recordVersion(service, softwareVersion, nowMs - seenAgoMs)
        );
        this.inherited = { sinceMs: Math.min(this.versionsKnownSinceMs, nowMs - record.coveredForMs), ownSinceMs };
    }

    /** Unix ms since which this process, or peers before it, have seen every change; infinity if it may miss some now. */
    private get versionsKnownSinceMs(): number {
        const ownSinceMs = this.opts.isKeyValueReachable() ? this.mirror.gaplessSinceMs : Infinity;
        return this.inherited?.ownSinceMs === ownSinceMs ? this.inherited.sinceMs : ownSinceMs;
    }

    /** Returns the time at which this process of an upstream was last known to be listed, Unix ms; -infinity if it isn't. */
    listedAtMs(upstream: Upstream): number {
        return this.directory.isListed(upstream) ? this.mirror.currentAtMs : -Infinity;
    }

    /** Removes upstreams whose entries expired and were not restored in time. */
    expire(): void {
        this.onChanges(this.directory.dropExpired(this.opts.clock.nowMs()));
    }

    private onSnapshot(entries: readonly KeyValueEntry[]): void {
        const listed = new Set(entries.map(entry => entry.key));
        const removed = this.directory.ids().filter(id => !listed.has(`${wireKeys.upstreams}${id}`));
        this.onChanges(this.directory.remove(removed, this.opts.clock.nowMs()));
        this.unreadable.retain(listed);
        entries.forEach(entry => this.onEntry(entry));
    }

    private onChange(batch: WatchBatch): void {
        this.lastChangeRevision = Math.max(this.lastChangeRevision, batch.revision);
        batch.puts.forEach(entry => this.onEntry(entry));
        batch.deletedKeys.forEach(key => this.unreadable.forget(key));
        const removed = batch.deletedKeys.map(upstreamIdOf);
        this.onChanges(this.directory.remove(removed, this.opts.clock.nowMs()));
    }

    private onEntry(entry: KeyValueEntry): void {
        const nowMs = this.opts.clock.nowMs();
        const upstream = this.decode(entry);
        if (upstream === undefined) {
            this.onChanges(this.directory.remove([upstreamIdOf(entry.key)], nowMs));
            return;
        }
        const change = this.directory.put(upstream, nowMs);
        this.onChanges(change === undefined ? [] : [change]);
    }

    /** Returns the upstream that an entry describes; undefined if it describes none, as another writer may have written it. */
    private decode({ key, value }: KeyValueEntry): Upstream | undefined {
        try {
            const upstream = decodeUpstream(key, value);
            this.unreadable.onRead(key);
            return upstream;
        }
        catch (error) {
            this.unreadable.onFailure(key, { sizeBytes: value.length, message: (error as Error).message });
            return undefined;
        }
    }

    private onChanges(changes: readonly UpstreamChange[]): void {
        changes.forEach(({ kind, upstream }) => {
            this.opts.logger.info("upstream-changed", {
                change: kind,
                upstream: upstream.id,
                service: upstream.service,
                softwareVersion: upstream.softwareVersion,
                state: upstream.state,
                startedAtMs: upstream.startedAtMs,
                revision: this.mirror.revision,
            });
            if (kind !== "changed") {
                this.opts.health.forget(upstream.id);
                this.opts.speeds.forget(upstream.id);
            }
            if (kind === "left") {
                this.opts.connections.forget(upstream);
                this.opts.onLeft?.(upstream.id);
            }
        });
        if (changes.length > 0) {
            this.opts.onChanged();
        }
    }
}

function upstreamIdOf(key: string): UpstreamId {
    return key.slice(wireKeys.upstreams.length) as UpstreamId;
}

function isOfVersion(upstream: Upstream, softwareVersion: SoftwareVersion | undefined): boolean {
    return softwareVersion === undefined || upstream.softwareVersion === softwareVersion;
}
