import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A service that takes a share of a route's requests. */
export interface WeightedService {
    service: ServiceName;
    /** Share relative to the other services of the route; above 0. */
    weight: number;
}
