import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";
import type { ServiceSlots } from "./serviceSlots.js";

/** What decides whether an item may start now. */
export interface ItemConditions {
    serviceOf(job: OpenJob, item: JobItem): ServiceName | undefined;
    /** Returns the ready upstreams of a service, shape [upstreams]. */
    readyUpstreams(service: ServiceName): Upstream[];
    /** Whether an online request of the service waits for an upstream. */
    hasWaitingRequest(service: ServiceName): boolean;
    /** Returns the slots of a service; undefined if none of its upstreams may be used now. */
    slotsOf(service: ServiceName): ServiceSlots | undefined;
    isQuarantined(service: ServiceName, item: JobItem): boolean;
}
