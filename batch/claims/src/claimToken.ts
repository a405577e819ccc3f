import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** Permission to send one call once. */
export interface ClaimToken {
    shardId: PartitionId;
    /** Digest of team, service and idempotency key. */
    claimId: string;
    /** Unique to each attempt to claim. */
    tokenId: string;
}
