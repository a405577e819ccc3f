import type { Clock } from "@knapweedwood/core.clock/clock";
import { HELD_JOBS_WRITE_MS } from "@knapweedwood/fleet.jobs/heldJobsWriteMs";
import { StoredCountTrust } from "@knapweedwood/fleet.jobs/storedCountTrust";
import type { StoreReachability } from "@knapweedwood/fleet.jobs/storeReachability";
import type { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import type { PeerFollower } from "./peerFollower.js";

/** Maximum age of the last lease renewal with which the key-value service counts as reachable, in milliseconds. */
const KEY_VALUE_REACHABLE_MS = 1800;

/** Determines which processes reach the key-value service, and whether all held jobs are written to it. */
export class KeyValueReachability {
    private readonly opts: { clock: Clock; peers: PeerFollower; loadTracker: LoadTracker; };
    private readonly countTrust = new StoredCountTrust();

    constructor(opts: { clock: Clock; peers: PeerFollower; loadTracker: LoadTracker; }) {
        this.opts = opts;
    }

    get current(): StoreReachability {
        const { peers: { mirror, lease }, loadTracker } = this.opts;
        return {
            // The mirror notices an outage sooner than the lease, whose renewals are further apart.
            isReachable: this.isLeaseRenewed && Number.isFinite(mirror.reachableSinceMs),
            isReachableByPeer: loadTracker.isKeyValueReachableByPeer(),
            lastReachedAtMs: lease.lastRenewedAtMs,
        };
    }

    /** Whether a peer can reach the key-value service but this process can't. Callers should then be served by peers. */
    get isIsolated(): boolean {
        return !this.isLeaseRenewed && this.opts.loadTracker.isKeyValueReachableByPeer();
    }

    /** Whether enough time has passed since an outage of the key-value service for all held jobs to be written. */
    get areHeldJobsWritten(): boolean {
        return this.opts.clock.nowMs() > this.opts.peers.mirror.reachableSinceMs + HELD_JOBS_WRITE_MS;
    }

    /**
     * Whether the stored count of waiting tokens contains all jobs. It lacks those that were held during an outage and
     * are not written yet.
     */
    get isTokenCountComplete(): boolean {
        return this.updateTrust(this.current.isReachable);
    }

    /**
     * Returns whether the key-value service is reachable, for a report. After a report that it isn't, the leader may accept
     * jobs that are only held, so that the stored count isn't trusted for a while.
     */
    report(): boolean {
        const { isReachable } = this.current;
        this.updateTrust(isReachable);
        return isReachable;
    }

    /** Whether the lease of this process was renewed a short time ago. */
    get isLeaseRenewed(): boolean {
        return this.opts.peers.lease.wasRenewedWithin(KEY_VALUE_REACHABLE_MS);
    }

    private updateTrust(isReachable: boolean): boolean {
        const { peers, loadTracker, clock } = this.opts;
        const leader = peers.leadership.leader?.instanceName;
        const isLeaderReachable = leader === undefined ? undefined : loadTracker.isKeyValueReachableBy(leader);
        return this.countTrust.update({ nowMs: clock.nowMs(), isReachable, isLeaderReachable });
    }
}
