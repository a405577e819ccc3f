import type { Upstream } from "@knapweedwood/fleet.view/upstream";

/** Chooses where a request runs. */
export interface PlacementPolicy {
    /** The upstream of a service for one more online request; undefined where none has a place. */
    placeOnline(candidates: readonly Upstream[]): Upstream | undefined;
}
