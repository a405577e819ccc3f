import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { PlacementRequest } from "./placementRequest.js";

/** Chooses the upstream that runs a request. */
export interface PlacementPolicy {
    /** Returns the upstream of a service for another online request; undefined if none has a free slot. */
    placeOnline(candidates: readonly Upstream[], request: PlacementRequest): Upstream | undefined;
}
