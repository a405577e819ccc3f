import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { settleTransaction } from "@knapweedwood/core.key-value/settleTransaction";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { FencedLeadership } from "./fencedLeadership.js";
import { fleetKeys } from "./fleetKeys.js";
import type { KnownLeader } from "./knownLeader.js";
import type { LeaderRecord } from "./leaderRecord.js";
import type { ProcessLease } from "./processLease.js";

/** Upper bound of the random delay before an attempt, in milliseconds. It makes concurrent attempts unlikely. */
const ATTEMPT_SPREAD_MS = 60;
const RETRY_DELAY_MS = 300;

interface LeadershipOptions {
    service: KeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    lease: ProcessLease;
    self: LeaderRecord;
    /** Whether this process tries to become leader when there is none. */
    isCandidate: boolean;
    onGained(): void;
    onLost(): void;
}

/**
 * Elects one leader at a time: the process that wrote the leader key. The key is bound to the lease of that process and
 * is removed with it. The key's revision is the fencing number: writes that compare it fail once another process has
 * become leader.
 */
export class Leadership implements FencedLeadership {
    private readonly opts: LeadershipOptions;
    private observedEntry: KeyValueEntry | undefined;
    private observedRevision = 0;
    private reportedLeader: KnownLeader | undefined;
    private heldRevision: number | undefined;
    /** Lease to which the key of the held leadership is bound. */
    private heldLeaseId: string | undefined;
    private attemptTimer: Timer | undefined;
    private isAttempting = false;
    /** Revision of the key that this process removed last, possibly still without a response. */
    private removedRevision: number | undefined;
    private isResigned = false;
    /** The key of a leadership that was resigned, until its removal is confirmed. */
    private resignedFence: KeyValueCompare | undefined;

    constructor(opts: LeadershipOptions) {
        this.opts = opts;
    }

    /** Returns true only while this process is certain to be the leader. */
    isLeading(): boolean {
        return this.heldRevision !== undefined && this.opts.lease.heldId === this.heldLeaseId;
    }

    /** Returns the compare that guards every write of the leader; undefined while this process is not the leader. */
    fence(): KeyValueCompare | undefined {
        return this.heldRevision === undefined
            ? undefined
            : { key: fleetKeys.jobsLeader, modRevision: this.heldRevision };
    }

    /** Applies the state of the leader key at `revision`; `entry` is undefined if the key is absent. */
    observe(entry: KeyValueEntry | undefined, revision: number): void {
        this.observedEntry = entry;
        this.observedRevision = revision;
        // A state from before this process wrote the key says nothing about its own leadership.
        const isCurrent = this.heldRevision !== undefined && revision >= this.heldRevision;
        if (isCurrent && entry?.modRevision !== this.heldRevision) {
            this.lose("key-changed");
        }
        if (entry !== undefined) {
            this.revokePredecessorLease(entry);
            this.removeUnheldKey(entry);
        }
        if (entry === undefined && this.heldRevision === undefined && this.opts.isCandidate) {
            this.scheduleAttempt(this.opts.random.next() * ATTEMPT_SPREAD_MS);
        }
    }

    /** Revokes the lease of an earlier start of this process, so that its expiry need not be awaited. */
    private revokePredecessorLease(entry: KeyValueEntry): void {
        const { instanceName, startedAtMs } = decodeRecord<LeaderRecord>(entry.value);
        const { self } = this.opts;
        const isPredecessor = instanceName === self.instanceName && startedAtMs < self.startedAtMs;
        if (!isPredecessor || entry.leaseId === undefined) {
            return;
        }
        this.opts.logger.info("predecessor-ended", { leaseId: entry.leaseId, fencingNumber: entry.modRevision });
        this.opts.service.revokeLease(entry.leaseId).catch((thrown: unknown) => {
            this.opts.logger.info("predecessor-not-ended", { code: toKnapweedError(thrown).code });
        });
    }

    /**
     * Removes a key of this process that it doesn't lead with: the responses to the write were lost, or the write arrived
     * late. Until it is removed, no process can lead.
     */
    private removeUnheldKey(entry: KeyValueEntry): void {
        const { instanceName, startedAtMs } = decodeRecord<LeaderRecord>(entry.value);
        const isOwn = instanceName === this.opts.self.instanceName && startedAtMs === this.opts.self.startedAtMs;
        const isInUse = this.isAttempting || this.heldRevision !== undefined;
        if (isOwn && !isInUse && this.removedRevision !== entry.modRevision) {
            this.opts.logger.info("leader-key-unheld", { fencingNumber: entry.modRevision });
            void this.removeLeaderKey({ key: fleetKeys.jobsLeader, modRevision: entry.modRevision });
        }
    }

    /** Gives up leadership and makes no further attempts. Rejects if the key-value service fails. */
    async resign(): Promise<void> {
        this.isResigned = true;
        this.attemptTimer?.cancel();
        const fence = this.fence();
        if (fence !== undefined) {
            this.resignedFence = fence;
            this.lose("resigned");
        }
        if (this.resignedFence !== undefined) {
            await this.opts.service.transact([this.resignedFence], [{ kind: "delete", key: fleetKeys.jobsLeader }]);
            this.resignedFence = undefined;
        }
    }

    /**
     * Gives up the leadership whose fence guarded a rejected write. Does nothing if this process has another one by now.
     * The next leader, possibly this process, reloads all state.
     */
    stepDown(fence: KeyValueCompare, reason: string): void {
        if (this.heldRevision === fence.modRevision) {
            this.lose(reason);
            void this.removeLeaderKey(fence);
        }
    }

    private lose(reason: string): void {
        this.opts.logger.warn("leadership-lost", { reason, fencingNumber: this.heldRevision });
        this.heldRevision = undefined;
        this.opts.onLost();
    }

    /** Removes the key that this process wrote. Retries until the removal is confirmed. */
    private async removeLeaderKey(fence: KeyValueCompare): Promise<void> {
        this.removedRevision = fence.modRevision;
        for (let isRemoved = false; !isRemoved;) {
            try {
                await this.opts.service.transact([fence], [{ kind: "delete", key: fence.key }]);
                isRemoved = true;
                this.reviewObservation();
            }
            catch (thrown) {
                const error = toKnapweedError(thrown);
                this.opts.logger.info("leader-key-not-removed", { code: error.code, message: error.message });
                await sleep(this.opts.clock, RETRY_DELAY_MS);
            }
        }
    }

    private scheduleAttempt(delayMs: number): void {
        if (this.attemptTimer !== undefined || this.isResigned) {
            return;
        }
        this.attemptTimer = this.opts.clock.setTimer(delayMs, () => {
            this.attemptTimer = undefined;
            void this.attempt();
        });
    }

    private async attempt(): Promise<void> {
        const leaseId = this.opts.lease.heldId;
        if (
            this.isAttempting || this.observedEntry !== undefined || this.isResigned || this.heldRevision !== undefined
        ) {
            return;
        }
        if (leaseId === undefined) {
            this.scheduleAttempt(RETRY_DELAY_MS);
            return;
        }
        this.isAttempting = true;
        try {
            await this.write(leaseId);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.info("leadership-attempt-failed", { code: error.code, message: error.message });
        }
        this.isAttempting = false;
        this.reviewObservation();
    }

    /** Does what an observation made during an attempt left undone. */
    private reviewObservation(): void {
        if (this.heldRevision !== undefined) {
            return;
        }
        if (this.observedEntry === undefined) {
            this.scheduleAttempt(RETRY_DELAY_MS);
            return;
        }
        this.removeUnheldKey(this.observedEntry);
    }

    private async write(leaseId: string): Promise<void> {
        const key = fleetKeys.jobsLeader;
        const result = await settleTransaction({
            service: this.opts.service,
            clock: this.opts.clock,
            compares: [{ key, modRevision: 0 }],
            operations: [{ kind: "put", key, value: encodeRecord({ ...this.opts.self, leaseId }), leaseId }],
            witnessKey: key,
        });
        if (result.kind === "succeeded") {
            this.onWritten(result.revision, leaseId);
        }
    }

    private onWritten(revision: number, leaseId: string): void {
        if (this.isResigned) {
            void this.removeLeaderKey({ key: fleetKeys.jobsLeader, modRevision: revision });
            return;
        }
        // The key may have been removed with its lease before the response arrived.
        if (this.observedRevision >= revision && this.observedEntry?.modRevision !== revision) {
            return;
        }
        this.heldRevision = revision;
        this.heldLeaseId = leaseId;
        this.opts.logger.info("leadership-gained", { fencingNumber: revision, leaseId });
        this.opts.onGained();
    }

    /** The newest leader known to this process, possibly itself; undefined if none is known. */
    get leader(): KnownLeader | undefined {
        const observed = this.observedEntry === undefined ? undefined : {
            instanceName: decodeRecord<LeaderRecord>(this.observedEntry.value).instanceName,
            fencingNumber: this.observedEntry.modRevision,
        };
        return (this.reportedLeader?.fencingNumber ?? 0) > (observed?.fencingNumber ?? 0)
            ? this.reportedLeader
            : observed;
    }

    /**
     * Records a leader reported by another process; this one may be disconnected from the key-value service. Gives up
     * leadership if the reported leader is newer.
     */
    recordLeader(leader: KnownLeader): void {
        if (leader.fencingNumber > (this.reportedLeader?.fencingNumber ?? 0)) {
            this.reportedLeader = leader;
        }
        if (this.heldRevision !== undefined && leader.fencingNumber > this.heldRevision) {
            this.lose("superseded");
        }
    }
}
