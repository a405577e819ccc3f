import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** What an instance does about ownership next. */
export interface OwnershipDecision {
    acquire: PartitionId[];
    /** At most one at a time, so that a rebalance is paced. */
    release: PartitionId[];
}
