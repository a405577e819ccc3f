import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { PlacementRequest } from "./placementRequest.js";

/** A further term in the cost of placing a request at an upstream. */
export interface PlacementCost {
    /**
     * Returns the time that the upstream adds to the expected time to the first event, in milliseconds at the mean speed
     * of the service; negative if it saves time.
     */
    costOf(upstream: Upstream, request: PlacementRequest): number;
}
