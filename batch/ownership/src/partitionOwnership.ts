import { commitTransaction } from "@knapweedwood/batch.records/commitTransaction";
import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { StoredRecord } from "@knapweedwood/batch.records/storedRecord";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import { decideOwnership } from "./decideOwnership.js";
import type { OwnedPartition } from "./ownedPartition.js";
import { ownershipChart } from "./ownershipChart.js";
import type { OwnershipEvent } from "./ownershipEvent.js";
import type { OwnershipState } from "./ownershipState.js";
import { partitionKeys } from "./partitionKeys.js";
import type { PartitionOwnershipOptions } from "./partitionOwnershipOptions.js";
import type { PartitionRecord } from "./partitionRecord.js";

const DEFAULT_LEASE_TTL_MS = 2500;
const TICK_MS = 400;
const LEASE_RENEWAL_INTERVAL_MS = 700;
const MAX_BACKOFF_MS = 4000;

interface PartitionStatus {
    state: OwnershipState;
    owned: OwnedPartition | undefined;
    holder: InstanceId | undefined;
    holderAddress: string | undefined;
    lastHolder: InstanceId | undefined;
    wasFreedByOutage: boolean;
    freeSinceMs: number | undefined;
    misplacedSinceMs: number | undefined;
}

/** Acquires, keeps and releases partitions. One lease covers all partitions that the instance holds. */
export class PartitionOwnership {
    private readonly opts: PartitionOwnershipOptions;
    private readonly statuses: Map<PartitionId, PartitionStatus>;
    private readonly stopping = new AbortController();
    private leaseId: string | undefined;
    private loop: Promise<void> | undefined;
    private stopped: Promise<void> | undefined;
    private failureCount = 0;
    private lastRenewedAtMs = Number.NEGATIVE_INFINITY;
    private writeCount = 0;

    constructor(opts: PartitionOwnershipOptions) {
        this.opts = opts;
        this.statuses = new Map(
            Array.from({ length: opts.partitionCount }, (_, index) => [String(index) as PartitionId, {
                state: ownershipChart.initial,
                owned: undefined,
                holder: undefined,
                holderAddress: undefined,
                lastHolder: undefined,
                wasFreedByOutage: false,
                freeSinceMs: undefined,
                misplacedSinceMs: undefined,
            }]),
        );
    }

    start(): void {
        this.loop ??= this.run();
    }

    /** Stops the loop, then releases all held partitions and revokes the lease. */
    stop(): Promise<void> {
        this.stopped ??= this.releaseAll();
        return this.stopped;
    }

    private async releaseAll(): Promise<void> {
        this.stopping.abort();
        await this.loop;
        const held = [...this.statuses].filter(([, status]) => status.state === "held");
        await Promise.all(held.map(([partitionId]) => this.release(partitionId)));
        if (this.leaseId !== undefined) {
            await this.opts.keyValue.revokeLease(this.leaseId).catch(() => undefined);
        }
    }

    /** Returns the proof of ownership; undefined if this instance may not commit. */
    owned(partitionId: PartitionId): OwnedPartition | undefined {
        const status = this.statuses.get(partitionId);
        return status?.state === "held" ? status.owned : undefined;
    }

    /** Returns the address where the holder accepts links, as last observed; undefined if the partition is free. */
    holderAddress(partitionId: PartitionId): string | undefined {
        return this.statuses.get(partitionId)?.holderAddress;
    }

    private async run(): Promise<void> {
        const { clock, random, logger } = this.opts;
        while (!this.stopping.signal.aborted) {
            try {
                await this.tick();
                this.failureCount = 0;
            }
            catch (error) {
                this.failureCount += 1;
                logger.warn("partition-ownership-check-failed", { code: toKnapweedError(error).code });
            }
            const delayMs = Math.min(MAX_BACKOFF_MS, TICK_MS * 2 ** Math.min(this.failureCount, 4));
            await sleep(clock, delayMs * (0.75 + random.next() / 2), this.stopping.signal);
        }
    }

    private async tick(): Promise<void> {
        await this.renewLease();
        await this.refreshStatuses();
        const decision = decideOwnership({
            nowMs: this.opts.clock.nowMs(),
            instanceId: this.opts.instanceId,
            liveEntries: await this.opts.liveEntries(),
            partitions: [...this.statuses].map(([partitionId, status]) => ({ partitionId, ...status })),
        });
        for (const partitionId of decision.acquire) {
            await this.acquire(partitionId);
        }
        for (const partitionId of decision.release) {
            await this.release(partitionId);
        }
    }

    private async renewLease(): Promise<void> {
        const { keyValue, clock } = this.opts;
        const nowMs = clock.nowMs();
        if (nowMs - this.lastRenewedAtMs < LEASE_RENEWAL_INTERVAL_MS) {
            return;
        }
        const remainingMs = this.leaseId === undefined ? 0 : await keyValue.keepLeaseAlive(this.leaseId);
        if (remainingMs <= 0) {
            this.leaseId = await keyValue.grantLease(this.opts.leaseTtlMs ?? DEFAULT_LEASE_TTL_MS);
        }
        this.lastRenewedAtMs = nowMs;
    }

    /** Compares the status of each partition with its record. */
    private async refreshStatuses(): Promise<void> {
        const prefix = partitionKeys.owners(this.opts.scope);
        const entries = await this.opts.keyValue.list(prefix);
        const records = new Map(
            entries.map(entry => [entry.key.slice(prefix.length), {
                key: entry.key,
                value: decodeRecord<PartitionRecord>(entry.value),
                modRevision: entry.modRevision,
            }]),
        );
        const liveEntries = await this.opts.liveEntries();
        this.statuses.forEach((status, partitionId) => {
            this.refreshStatus(partitionId, status, records.get(partitionId), liveEntries);
        });
    }

    private refreshStatus(
        partitionId: PartitionId,
        status: PartitionStatus,
        record: StoredRecord<PartitionRecord> | undefined,
        liveEntries: InstanceId[],
    ): void {
        const nowMs = this.opts.clock.nowMs();
        status.holder = record?.value.instanceId;
        status.lastHolder = status.holder ?? status.lastHolder;
        status.holderAddress = record?.value.address;
        const isNewlyFree = record === undefined && status.freeSinceMs === undefined;
        status.wasFreedByOutage = record === undefined
            && (isNewlyFree ? this.failureCount > 0 : status.wasFreedByOutage);
        status.freeSinceMs = record === undefined ? status.freeSinceMs ?? nowMs : undefined;
        const isPreferred =
            (rendezvousRank(partitionId, liveEntries)[0] ?? this.opts.instanceId) === this.opts.instanceId;
        status.misplacedSinceMs = isPreferred ? undefined : status.misplacedSinceMs ?? nowMs;
        if (record?.modRevision === status.owned?.modRevision) {
            return;
        }
        if (record === undefined && status.state === "held") {
            this.applyEvent(status, "lapsed");
        }
        else if (record !== undefined && (status.state === "held" || status.state === "suspended")) {
            this.applyEvent(status, "taken");
            status.owned = undefined;
            this.opts.onLost(partitionId, record.value.address);
        }
    }

    private async acquire(partitionId: PartitionId): Promise<void> {
        const { keyValue, clock, random, scope, instanceId, address, logger, metrics } = this.opts;
        const fencingKey = partitionKeys.fencing(scope, partitionId);
        const ownerKey = partitionKeys.owner(scope, partitionId);
        const fencing = await readRecord<{ fencingNumber: number; }>(keyValue, fencingKey);
        const fencingNumber = (fencing?.value.fencingNumber ?? 0) + 1 as FencingNumber;
        const writeId = `${instanceId}-${clock.nowMs()}-${this.writeCount++}-${random.nextInteger(2 ** 31)}`;
        const record: PartitionRecord = { instanceId, address: address(), fencingNumber, writeId };
        const result = await commitTransaction({
            keyValue,
            clock,
            random,
            compares: [
                { key: ownerKey, modRevision: 0 },
                { key: fencingKey, modRevision: fencing?.modRevision ?? 0 },
            ],
            operations: [
                { kind: "put", key: ownerKey, value: encodeRecord(record), leaseId: this.leaseId },
                { kind: "put", key: fencingKey, value: encodeRecord({ fencingNumber }) },
            ],
        });
        const status = this.statuses.get(partitionId);
        if (!result.succeeded || status === undefined) {
            return;
        }
        this.applyEvent(status, "acquired");
        status.owned = { partitionId, fencingNumber, modRevision: result.revision };
        status.holder = instanceId;
        status.lastHolder = instanceId;
        status.holderAddress = record.address;
        logger.info("partition-acquired", { scope, partitionId, fencingNumber });
        metrics.increment("batch.partition_acquired");
        this.opts.onAcquired(status.owned);
    }

    private async release(partitionId: PartitionId): Promise<void> {
        const status = this.statuses.get(partitionId);
        const { owned } = status ?? {};
        if (status === undefined || owned === undefined) {
            return;
        }
        await this.opts.onRelease(partitionId).catch((error: unknown) => {
            this.opts.logger.warn("partition-released-uncommitted", { code: toKnapweedError(error).code });
        });
        this.applyEvent(status, "release");
        const key = partitionKeys.owner(this.opts.scope, partitionId);
        await this.opts.keyValue
            .transact([{ key, modRevision: owned.modRevision }], [{ kind: "delete", key }])
            .catch(() => undefined);
        this.applyEvent(status, "released");
        status.owned = undefined;
        status.misplacedSinceMs = undefined;
        this.opts.logger.info("partition-released", { scope: this.opts.scope, partitionId });
    }

    private applyEvent(status: PartitionStatus, event: OwnershipEvent): void {
        status.state = ownershipChart.next(status.state, event);
    }
}
