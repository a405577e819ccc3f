import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A service that receives a share of a route's requests. */
export interface WeightedService {
    service: ServiceName;
    /** Weight relative to the other services of the route; above 0. */
    weight: number;
}
