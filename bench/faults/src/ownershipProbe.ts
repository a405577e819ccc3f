import { partitionKeys } from "@knapweedwood/batch.ownership/partitionKeys";
import type { PartitionRecord } from "@knapweedwood/batch.ownership/partitionRecord";
import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";

const PROBE_INTERVAL_MS = 100;
const MAX_WAIT_MS = 30_000;
const PARTITION_COUNT = 16;

/** Polls the key-value service for the owners of the batch partitions. */
export class OwnershipProbe {
    private readonly opts: { keyValue: KeyValueService; clock: Clock; };

    constructor(opts: OwnershipProbe["opts"]) {
        this.opts = opts;
    }

    /**
     * Waits until each partition has an owner and none of the ownership records of the lost instance remain.
     *
     * @returns the time of the poll that found this, in milliseconds; undefined after 30 seconds, or if the owners
     * cannot be read at the start
     */
    async waitUntilOwned(lostInstanceId: string): Promise<number | undefined> {
        const { clock } = this.opts;
        const endMs = clock.nowMs() + MAX_WAIT_MS;
        const lostRevisions = await this.revisionsOf(lostInstanceId);
        while (lostRevisions !== undefined && clock.nowMs() < endMs) {
            const owners = await this.listOwners();
            const hasLostOwner = owners?.some(owner => lostRevisions.has(owner.modRevision)) ?? true;
            if (!hasLostOwner && owners?.length === PARTITION_COUNT) {
                return clock.nowMs();
            }
            await sleep(clock, PROBE_INTERVAL_MS);
        }
        return undefined;
    }

    private async revisionsOf(instanceId: string): Promise<Set<number> | undefined> {
        const owners = await this.listOwners();
        return owners && new Set(
            owners.filter(owner => owner.instanceId === instanceId).map(owner => owner.modRevision),
        );
    }

    private async listOwners(): Promise<{ instanceId: string; modRevision: number; }[] | undefined> {
        const entries = await this.opts.keyValue.list(partitionKeys.owners("batch")).catch(() => undefined);
        return entries?.map(entry => ({
            instanceId: decodeRecord<PartitionRecord>(entry.value).instanceId,
            modRevision: entry.modRevision,
        }));
    }
}
