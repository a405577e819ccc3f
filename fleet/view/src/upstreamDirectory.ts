import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import type { Upstream } from "./upstream.js";
import type { UpstreamChange } from "./upstreamChange.js";
import type { UpstreamProcess } from "./upstreamProcess.js";
import { upstreamProcessKeyOf } from "./upstreamProcessKeyOf.js";
import type { VersionSighting } from "./versionSighting.js";
import { VersionSightings } from "./versionSightings.js";

/** Time after an outage of the key-value service within which upstreams restore expired entries, in milliseconds. */
const EXPIRY_GRACE_MS = 2200;
/** Time for which entries that disappear together are kept if no outage was detected, in milliseconds. */
const MASS_EXPIRY_GRACE_MS = 1800;
/** Minimum share of a service's upstreams whose simultaneous disappearance counts as expiry of their entries. */
const MASS_EXPIRY_SHARE = 0.5;
/** Time for which an upstream that has said that it leaves is remembered, in milliseconds. */
const ANNOUNCEMENT_RETENTION_MS = 600_000;

interface UpstreamDirectoryOptions {
    /** Called when a process of an upstream is no longer listed, though it hadn't said that it leaves. */
    onEnded?: (upstream: Upstream) => void;
}

interface DirectoryEntry {
    upstream: Upstream;
    /** Time at which the entry is dropped unless it is restored; undefined while it is listed. */
    dropAtMs: number | undefined;
    /** Time at which this process learned that the upstream leaves; undefined while it stays. */
    leavingSinceMs: number | undefined;
}

/**
 * Stores the upstreams that may receive requests.
 *
 * An entry that disappears is dropped immediately, except around an outage of the key-value service. Entries expire
 * during an outage although their upstreams are running, so they are kept for a grace period.
 */
export class UpstreamDirectory {
    private readonly entries = new Map<UpstreamId, DirectoryEntry>();
    private readonly opts: UpstreamDirectoryOptions;
    private outageEndedAtMs = -Infinity;
    private readonly departedVersions = new VersionSightings();
    /** Times at which processes of upstreams said in a response that they leave. Outlasts their entries. */
    private readonly announcedLeaving = new Map<UpstreamProcessKey, number>();

    constructor(opts: UpstreamDirectoryOptions = {}) {
        this.opts = opts;
    }

    /** Records that the key-value service is reachable again after an outage. */
    onKeyValueReconnected(nowMs: number): void {
        this.outageEndedAtMs = nowMs;
    }

    /**
     * Adds or updates the entry of an upstream.
     *
     * @returns the change; undefined if neither the process nor its state is new
     */
    put(upstream: Upstream, nowMs: number): UpstreamChange | undefined {
        const previous = this.entries.get(upstream.id);
        if (previous !== undefined && previous.upstream.startedAtMs !== upstream.startedAtMs) {
            this.recordDeparture(previous, nowMs);
        }
        const isSameProcess = previous?.upstream.startedAtMs === upstream.startedAtMs;
        const earlierMs = isSameProcess ? previous.leavingSinceMs : undefined;
        const announcedMs = this.announcedLeaving.get(upstreamProcessKeyOf(upstream));
        const leavingSinceMs = upstream.state === "draining" ? earlierMs ?? announcedMs ?? nowMs : announcedMs;
        this.entries.set(upstream.id, { upstream, dropAtMs: undefined, leavingSinceMs });
        if (previous === undefined || previous.upstream.startedAtMs !== upstream.startedAtMs) {
            return { kind: "joined", upstream };
        }
        return previous.upstream.state !== upstream.state ? { kind: "changed", upstream } : undefined;
    }

    /**
     * Handles entries that are no longer listed: drops them or keeps them for a grace period.
     *
     * @returns changes for the entries dropped immediately, shape [changes]
     */
    remove(ids: readonly UpstreamId[], nowMs: number): UpstreamChange[] {
        const removedIds = ids.filter(id => this.entries.has(id));
        // Measured from the outage, not from the removal, so that an upstream that has left isn't kept for longer.
        const graceEndsAtMs = this.outageEndedAtMs + EXPIRY_GRACE_MS;
        const dropAtMs = this.isMassExpiry(removedIds)
            ? Math.max(graceEndsAtMs, nowMs + MASS_EXPIRY_GRACE_MS)
            : graceEndsAtMs;
        if (dropAtMs <= nowMs) {
            return removedIds.map(id => this.drop(id, nowMs));
        }
        removedIds.forEach(id => {
            this.entries.get(id)!.dropAtMs ??= dropAtMs;
        });
        return [];
    }

    /**
     * Drops entries that were not restored within their grace period.
     *
     * @returns changes for the dropped entries, shape [changes]
     */
    dropExpired(nowMs: number): UpstreamChange[] {
        return [...this.entries]
            .filter(([, entry]) => entry.dropAtMs !== undefined && entry.dropAtMs <= nowMs)
            .map(([id]) => this.drop(id, nowMs));
    }

    /**
     * Records that an upstream has said in a response that it leaves. It accepts no new requests from then on, whatever
     * its entry says.
     *
     * @returns whether this was not known yet
     */
    markLeaving(upstream: UpstreamProcess, nowMs: number): boolean {
        const key = upstreamProcessKeyOf(upstream);
        if (this.announcedLeaving.has(key)) {
            return false;
        }
        this.forgetAnnouncements(nowMs);
        this.announcedLeaving.set(key, nowMs);
        const entry = this.entries.get(upstream.id);
        if (entry !== undefined && upstreamProcessKeyOf(entry.upstream) === key) {
            entry.leavingSinceMs ??= nowMs;
        }
        return true;
    }

    /** Whether the key-value service lists this process of an upstream, as far as is known. */
    isListed({ id, startedAtMs }: Upstream): boolean {
        const entry = this.entries.get(id);
        return entry?.upstream.startedAtMs === startedAtMs && entry.dropAtMs === undefined;
    }

    /** Whether this process of an upstream is stored with its software version, listed or not. */
    isKnown({ id, startedAtMs, softwareVersion }: Upstream): boolean {
        const known = this.entries.get(id)?.upstream;
        return known?.startedAtMs === startedAtMs && known.softwareVersion === softwareVersion;
    }

    get(id: UpstreamId): Upstream | undefined {
        return this.entries.get(id)?.upstream;
    }

    /** Returns the ids of all stored upstreams, shape [upstreams]. */
    ids(): UpstreamId[] {
        return [...this.entries.keys()];
    }

    /** Returns the upstreams of a service that accept new requests, shape [upstreams]. */
    ready(service: ServiceName): Upstream[] {
        return [...this.entries.values()]
            .filter(entry => entry.leavingSinceMs === undefined)
            .map(entry => entry.upstream)
            .filter(upstream => upstream.service === service);
    }

    /**
     * Returns the upstreams of a service that leave, as this process learned at `sinceMs` or later, shape [upstreams].
     * They complete requests for a while.
     */
    leaving(service: ServiceName, sinceMs: number): Upstream[] {
        return [...this.entries.values()]
            .filter(entry => entry.leavingSinceMs !== undefined && entry.leavingSinceMs >= sinceMs)
            .map(entry => entry.upstream)
            .filter(upstream => upstream.service === service);
    }

    /** Returns the one software version that has run a service since `sinceMs`; undefined if there were others. */
    soleVersion(service: ServiceName, sinceMs: number): SoftwareVersion | undefined {
        const sightings = this.versionsSince(sinceMs, sinceMs).filter(sighting => sighting.service === service);
        const versions = new Set(sightings.map(({ softwareVersion }) => softwareVersion));
        return versions.size === 1 ? sightings[0]!.softwareVersion : undefined;
    }

    /** Returns when the software versions were last seen, those present now and those seen since `sinceMs`, shape [versions]. */
    versionsSince(sinceMs: number, nowMs: number): VersionSighting[] {
        const present = [...this.entries.values()].map(({ upstream: { service, softwareVersion } }) => ({
            service,
            softwareVersion,
            atMs: nowMs,
        }));
        return [...this.departedVersions.since(sinceMs), ...present];
    }

    /** Records that a software version ran a service at `atMs`, as another process has seen it. */
    recordVersion(service: ServiceName, softwareVersion: SoftwareVersion, atMs: number): void {
        this.departedVersions.record(service, softwareVersion, atMs);
    }

    private forgetAnnouncements(nowMs: number): void {
        [...this.announcedLeaving]
            .filter(([, atMs]) => atMs < nowMs - ANNOUNCEMENT_RETENTION_MS)
            .forEach(([key]) => this.announcedLeaving.delete(key));
    }

    private recordDeparture({ upstream, leavingSinceMs }: DirectoryEntry, atMs: number): void {
        this.departedVersions.forgetOld(atMs);
        this.departedVersions.record(upstream.service, upstream.softwareVersion, atMs);
        if (leavingSinceMs === undefined) {
            this.opts.onEnded?.(upstream);
        }
    }

    private drop(id: UpstreamId, nowMs: number): UpstreamChange {
        const entry = this.entries.get(id)!;
        this.entries.delete(id);
        this.recordDeparture(entry, nowMs);
        return { kind: "left", upstream: entry.upstream };
    }

    private isMassExpiry(ids: readonly UpstreamId[]): boolean {
        const services = new Set(ids.map(id => this.entries.get(id)!.upstream.service));
        return [...services].some(service => {
            const entriesOfService = [...this.entries.values()].filter(entry => entry.upstream.service === service);
            const removed = ids.filter(id => this.entries.get(id)!.upstream.service === service);
            return removed.length > 1 && removed.length >= entriesOfService.length * MASS_EXPIRY_SHARE;
        });
    }
}
