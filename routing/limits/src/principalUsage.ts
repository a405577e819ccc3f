import type { PrincipalId } from "./principalId.js";

/** The demand of one team or key at one entry. */
export interface PrincipalUsage {
    principalId: PrincipalId;
    /** Demand as a share of the limit to which it is closest; above 1 if demand exceeds that limit. */
    pressure: number;
}
