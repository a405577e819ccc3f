import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { HeldItem } from "./heldItem.js";

/** A gate's request for batch items. */
export interface PullItemsRequest {
    service: ServiceName;
    count: number;
    /** Counts this gate's pulls from this entry, from 1; a repeated request has the same number. */
    pullNumber?: number;
    /** The last pull whose answer has arrived; the items of a later one go back to the queue. */
    receivedNumber?: number;
    /** What the gate has of any owner, so that a new owner doesn't hand it out again. */
    held?: HeldItem[];
}
