import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { HeldItem } from "./heldItem.js";

/** Request of a gate for batch items. */
export interface PullItemsRequest {
    service: ServiceName;
    count: number;
    /** Number of this gate's pull from this entry, starting at 1. A repeated request has the same number. */
    pullNumber?: number;
    /** Number of the last pull whose response has arrived. Items of later pulls return to the queue. */
    receivedNumber?: number;
    /** Items that the gate holds from any owner, so that a new owner does not hand them out again. */
    held?: HeldItem[];
}
