import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A gate's request for batch items. */
export interface PullItemsRequest {
    service: ServiceName;
    count: number;
}
