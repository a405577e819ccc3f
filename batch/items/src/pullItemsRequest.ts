import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A gate's request for batch items. */
export interface PullItemsRequest {
    service: ServiceName;
    count: number;
    /** Counts this gate's pulls from this entry, from 1; a repeated request has the same number. */
    pullNumber?: number;
    /** The last pull whose answer has arrived; the items of a later one go back to the queue. */
    receivedNumber?: number;
}
