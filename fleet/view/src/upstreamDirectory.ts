import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "./upstream.js";
import type { UpstreamChange } from "./upstreamChange.js";

/** Time after an outage of the key-value service in which entries that lapsed come back, in milliseconds. */
const EXPIRY_GRACE_MS = 2200;
/** Time for which entries that disappear together are kept where no outage was noticed, in milliseconds. */
const MASS_EXPIRY_GRACE_MS = 1800;
/** Share of a service's upstreams that disappear together only when their entries have lapsed. */
const MASS_EXPIRY_SHARE = 0.5;

interface DirectoryEntry {
    upstream: Upstream;
    /** When the entry is dropped unless it comes back; undefined while it is listed. */
    dropAtMs: number | undefined;
}

/**
 * The upstreams that may get requests.
 *
 * An entry that disappears is dropped at once, except around an outage of the key-value service: entries lapse then
 * although their upstreams live, and stay for a grace period.
 */
export class UpstreamDirectory {
    private readonly entries = new Map<UpstreamId, DirectoryEntry>();
    private outageEndedAtMs = -Infinity;

    /** Tells that the key-value service answers again after it was out of reach. */
    onKeyValueReconnected(nowMs: number): void {
        this.outageEndedAtMs = nowMs;
    }

    put(upstream: Upstream): UpstreamChange | undefined {
        const previous = this.entries.get(upstream.id);
        this.entries.set(upstream.id, { upstream, dropAtMs: undefined });
        if (previous === undefined || previous.upstream.startedAtMs !== upstream.startedAtMs) {
            return { kind: "joined", upstream };
        }
        return previous.upstream.state !== upstream.state ? { kind: "changed", upstream } : undefined;
    }

    /** Handles entries that are no longer listed. @returns what was dropped at once, shape [changes] */
    remove(ids: readonly UpstreamId[], nowMs: number): UpstreamChange[] {
        const removedIds = ids.filter(id => this.entries.has(id));
        // Counted from the outage, not from the removal: an upstream that really left must not be kept for longer.
        const graceEndsAtMs = this.outageEndedAtMs + EXPIRY_GRACE_MS;
        const dropAtMs = this.isMassExpiry(removedIds)
            ? Math.max(graceEndsAtMs, nowMs + MASS_EXPIRY_GRACE_MS)
            : graceEndsAtMs;
        if (dropAtMs <= nowMs) {
            return removedIds.map(id => this.drop(id));
        }
        removedIds.forEach(id => {
            this.entries.get(id)!.dropAtMs ??= dropAtMs;
        });
        return [];
    }

    /** Drops lapsed entries that did not come back. @returns what was dropped, shape [changes] */
    dropExpired(nowMs: number): UpstreamChange[] {
        return [...this.entries]
            .filter(([, entry]) => entry.dropAtMs !== undefined && entry.dropAtMs <= nowMs)
            .map(([id]) => this.drop(id));
    }

    get(id: UpstreamId): Upstream | undefined {
        return this.entries.get(id)?.upstream;
    }

    /** Ids of all upstreams known, shape [upstreams]. */
    ids(): UpstreamId[] {
        return [...this.entries.keys()];
    }

    /** Upstreams of a service that take new requests, shape [upstreams]. */
    ready(service: ServiceName): Upstream[] {
        return [...this.entries.values()]
            .map(entry => entry.upstream)
            .filter(upstream => upstream.service === service && upstream.state === "ready");
    }

    private drop(id: UpstreamId): UpstreamChange {
        const { upstream } = this.entries.get(id)!;
        this.entries.delete(id);
        return { kind: "left", upstream };
    }

    private isMassExpiry(ids: readonly UpstreamId[]): boolean {
        const services = new Set(ids.map(id => this.entries.get(id)!.upstream.service));
        return [...services].some(service => {
            const listed = [...this.entries.values()].filter(entry => entry.upstream.service === service);
            const leaving = ids.filter(id => this.entries.get(id)!.upstream.service === service);
            return leaving.length > 1 && leaving.length >= listed.length * MASS_EXPIRY_SHARE;
        });
    }
}
