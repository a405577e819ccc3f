import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

/** Identifies one attempt to claim a call. Once granted, it permits sending the call once. */
export interface ClaimToken {
    shardId: PartitionId;
    /** Digest of team, service and idempotency key. */
    claimId: string;
    /** Unique to each attempt to claim. */
    tokenId: string;
}
