import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { OwnershipState } from "./ownershipState.js";

/** The local view of one instance on which it decides about ownership. */
export interface OwnershipView {
    nowMs: number;
    instanceId: InstanceId;
    /** Entry instances that are not leaving, from the instance list, which may lag. */
    liveEntries: InstanceId[];
    partitions: {
        partitionId: PartitionId;
        state: OwnershipState;
        /** The instance in the owner's record; undefined while the partition is free. */
        holder: InstanceId | undefined;
        /** The last holder that this instance has observed. */
        lastHolder: InstanceId | undefined;
        /** Since when this instance has observed the partition as free; undefined while it is held. */
        freeSinceMs: number | undefined;
        /** Whether it was found free at the end of an outage, in which leases expire while their holders are alive. */
        wasFreedByOutage: boolean;
        /** Since when another instance has ranked first for a partition held here. */
        misplacedSinceMs: number | undefined;
    }[];
}
