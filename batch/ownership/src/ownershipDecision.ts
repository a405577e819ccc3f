import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** The partitions that an instance acquires and releases next. */
export interface OwnershipDecision {
    acquire: PartitionId[];
    /** At most one at a time, which limits the rate of a rebalance. */
    release: PartitionId[];
}
