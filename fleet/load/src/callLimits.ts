import type { Upstream } from "@knapweedwood/fleet.view/upstream";

/** The request rates of upstreams, as far as they limit online requests. */
export interface CallLimits {
    /** Whether an online request may be sent to an upstream now. */
    mayCall(upstream: Upstream): boolean;
    /** Returns the used part of what an upstream takes after a pause, 0 to 1; 0 for an upstream without a limit. */
    usedShare(upstream: Upstream): number;
    /**
     * Returns the number of slots of an upstream that its limit lets requests fill.
     *
     * @param meanHoldMs mean time for which a request holds a slot, in milliseconds
     */
    usableSlots(upstream: Upstream, meanHoldMs: number): number;
}
