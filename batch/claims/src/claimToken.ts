import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** The right to send one call once. */
export interface ClaimToken {
    shardId: PartitionId;
    /** Digest of team, service and idempotency key. */
    claimId: string;
    /** Unique to the attempt to claim. */
    tokenId: string;
}
