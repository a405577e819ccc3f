import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** Failed attempts at an item that has not completed. */
export interface ItemHistory {
    index: number;
    /** Attempts that failed for the item's own sake. */
    itemFailures: number;
    /** Attempts that ended with the loss or a failure of an instance. */
    instanceFailures: number;
    /** Where the attempts failed, each once, shape [upstreams]. */
    upstreams: InstanceId[];
    /** Where an upstream was lost while it ran the item, each once, shape [upstreams]. */
    lostUpstreams: InstanceId[];
}
