import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { OwnershipState } from "./ownershipState.js";

/** One instance's local view of all partitions, from which it decides which to acquire and which to release. */
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
        /**
         * Whether it was first observed as free at the end of an outage of the key-value service. In an outage, leases
         * expire although their holders are alive.
         */
        wasFreedByOutage: boolean;
        /** Since when another instance has ranked first for the partition; undefined while this one does. */
        misplacedSinceMs: number | undefined;
    }[];
}
