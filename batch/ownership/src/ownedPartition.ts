import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** Proof of ownership: each commit compares the owner's record with it. */
export interface OwnedPartition {
    partitionId: PartitionId;
    fencingNumber: FencingNumber;
    /** Revision of the owner's record. */
    modRevision: number;
}
