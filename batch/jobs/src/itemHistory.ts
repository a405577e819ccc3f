import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** Failed attempts at an item that has not completed. */
export interface ItemHistory {
    index: number;
    /** Number of failed attempts that were attributed to the item itself. */
    itemFailures: number;
    /** Number of attempts that ended with the loss or a failure of an instance. */
    instanceFailures: number;
    /** Distinct upstreams on which attempts failed, shape [upstreams]. */
    upstreams: InstanceId[];
    /** Distinct upstreams that were lost while they ran the item, shape [upstreams]. */
    lostUpstreams: InstanceId[];
}
