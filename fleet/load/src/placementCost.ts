import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { PlacementRequest } from "./placementRequest.js";

/** A further term in the cost of placing a request at an upstream. */
export interface PlacementCost {
    /**
     * Returns what the upstream adds to the expected time to the first event of the request, in milliseconds at the
     * speed of the service's mean; negative if it saves time.
     */
    costOf(upstream: Upstream, request: PlacementRequest): number;
}
