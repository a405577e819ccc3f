import type { PrincipalId } from "./principalId.js";

/** Determines the share of each team's and key's limits that this entry may use. */
export interface LimitShares {
    /** Number of entries that share the limits. */
    readonly entryCount: number;
    /**
     * Records the demand of one request, admitted or rejected.
     *
     * @param limitShare demand as a share of the amount that the limit allows in one second
     */
    onDemand(principalId: PrincipalId, limitShare: number, nowMs: number): void;
    /** @returns the share in (0, 1] */
    shareOf(principalId: PrincipalId, nowMs: number): number;
}
