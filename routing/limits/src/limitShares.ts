import type { PrincipalId } from "./principalId.js";

/** Which part of each team's and key's limits this entry may use. */
export interface LimitShares {
    /** Entries that share the limits. */
    readonly entryCount: number;
    /** @param limitShare what one request, let in or refused, asks for: a part of the limit's amount for a second */
    onDemand(principalId: PrincipalId, limitShare: number, nowMs: number): void;
    /** @returns the part in (0, 1] */
    shareOf(principalId: PrincipalId, nowMs: number): number;
}
