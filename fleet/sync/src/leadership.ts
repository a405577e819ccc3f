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

/** Spread of the candidates' attempts, so that one of them mostly is alone, in milliseconds. */
const ATTEMPT_SPREAD_MS = 60;
const RETRY_DELAY_MS = 300;

interface LeadershipOptions {
    service: KeyValueService;
    clock: Clock;
    random: Random;
    logger: Logger;
    lease: ProcessLease;
    self: LeaderRecord;
    /** Whether this process takes the lead where nobody has it. */
    isCandidate: boolean;
    onGained(): void;
    onLost(): void;
}

/**
 * One process leads at a time: the one that wrote the leader's key, which goes with its lease. The revision of that key
 * is the fencing number: writes that compare it fail once another process has led.
 */
export class Leadership implements FencedLeadership {
    private readonly opts: LeadershipOptions;
    private observedEntry: KeyValueEntry | undefined;
    private reportedLeader: KnownLeader | undefined;
    private heldRevision: number | undefined;
    private attemptTimer: Timer | undefined;
    private isResigned = false;

    constructor(opts: LeadershipOptions) {
        this.opts = opts;
    }

    /** Whether this process certainly leads now. */
    isLeading(): boolean {
        return this.heldRevision !== undefined && this.opts.lease.isHeld();
    }

    /** The condition that every write of the leader carries; undefined where this process doesn't lead. */
    fence(): KeyValueCompare | undefined {
        return this.heldRevision === undefined
            ? undefined
            : { key: fleetKeys.jobsLeader, modRevision: this.heldRevision };
    }

    /** Takes in the leader's key as the service has it at `revision`; undefined where it is absent. */
    observe(entry: KeyValueEntry | undefined, revision: number): void {
        this.observedEntry = entry;
        // What was read before this process wrote the key tells nothing of it.
        const isCurrent = this.heldRevision !== undefined && revision >= this.heldRevision;
        if (isCurrent && entry?.modRevision !== this.heldRevision) {
            this.lose("key-changed");
        }
        if (entry !== undefined) {
            this.revokePredecessorLease(entry);
        }
        if (entry === undefined && this.heldRevision === undefined && this.opts.isCandidate) {
            this.scheduleAttempt(this.opts.random.next() * ATTEMPT_SPREAD_MS);
        }
    }

    /** A lead of an earlier start of this very process need not be waited out: its lease is ended. */
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

    /** Gives the lead up and takes no part any more. */
    async resign(): Promise<void> {
        this.isResigned = true;
        this.attemptTimer?.cancel();
        const fence = this.fence();
        if (fence === undefined) {
            return;
        }
        this.lose("resigned");
        await this.opts.service.transact([fence], [{ kind: "delete", key: fleetKeys.jobsLeader }]);
    }

    /** Gives the lead up after a write was refused; whoever takes it next, this process perhaps, reads all anew. */
    stepDown(reason: string): void {
        const fence = this.fence();
        if (fence !== undefined) {
            this.lose(reason);
            void this.removeLeaderKey(fence);
        }
    }

    private lose(reason: string): void {
        this.opts.logger.warn("leadership-lost", { reason, fencingNumber: this.heldRevision });
        this.heldRevision = undefined;
        this.opts.onLost();
    }

    /** Removes the key that this process wrote, until it is certainly gone. */
    private async removeLeaderKey(fence: KeyValueCompare): Promise<void> {
        for (let isRemoved = false; !isRemoved;) {
            try {
                await this.opts.service.transact([fence], [{ kind: "delete", key: fence.key }]);
                isRemoved = true;
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
        if (this.observedEntry !== undefined || this.isResigned || this.heldRevision !== undefined) {
            return;
        }
        if (leaseId === undefined) {
            this.scheduleAttempt(RETRY_DELAY_MS);
            return;
        }
        try {
            await this.write(leaseId);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            this.opts.logger.info("leadership-attempt-failed", { code: error.code, message: error.message });
            this.scheduleAttempt(RETRY_DELAY_MS);
        }
    }

    private async write(leaseId: string): Promise<void> {
        const key = fleetKeys.jobsLeader;
        const result = await settleTransaction({
            service: this.opts.service,
            clock: this.opts.clock,
            compares: [{ key, modRevision: 0 }],
            operations: [{ kind: "put", key, value: encodeRecord(this.opts.self), leaseId }],
            witnessKey: key,
        });
        if (result.kind === "succeeded" && !this.isResigned) {
            this.heldRevision = result.revision;
            this.opts.logger.info("leadership-gained", { fencingNumber: result.revision, leaseId });
            this.opts.onGained();
            return;
        }
        if (result.kind === "unknown" || (result.kind === "failed" && result.current.length === 0)) {
            this.scheduleAttempt(RETRY_DELAY_MS);
        }
    }

    /** The newest leader that this process knows of, itself perhaps; undefined where none is known. */
    get leader(): KnownLeader | undefined {
        const seen = this.observedEntry === undefined ? undefined : {
            instanceName: decodeRecord<LeaderRecord>(this.observedEntry.value).instanceName,
            fencingNumber: this.observedEntry.modRevision,
        };
        return (this.reportedLeader?.fencingNumber ?? 0) > (seen?.fencingNumber ?? 0) ? this.reportedLeader : seen;
    }

    /** Takes in what another process knows: this one may be cut off from the key-value service. */
    recordLeader(leader: KnownLeader): void {
        if (leader.fencingNumber > (this.reportedLeader?.fencingNumber ?? 0)) {
            this.reportedLeader = leader;
        }
        if (this.heldRevision !== undefined && leader.fencingNumber > this.heldRevision) {
            this.lose("superseded");
        }
    }
}
