import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { OwnershipState } from "./ownershipState.js";

/** What one instance knows when it decides on ownership. */
export interface OwnershipView {
    nowMs: number;
    instanceId: InstanceId;
    /** Entry instances that are not leaving, as the lagging list has them. */
    liveEntries: InstanceId[];
    partitions: {
        partitionId: PartitionId;
        state: OwnershipState;
        /** The holder of the record; undefined where the partition is free. */
        holder: InstanceId | undefined;
        /** Who held it last, as far as this instance has seen. */
        lastHolder: InstanceId | undefined;
        /** Since when this instance has seen the partition free; undefined where it is held. */
        freeSinceMs: number | undefined;
        /** Whether it was found free at the end of an outage, in which leases lapse while their holders live. */
        wasFreedByOutage: boolean;
        /** Since when another instance has ranked first for a partition held here. */
        misplacedSinceMs: number | undefined;
    }[];
}
