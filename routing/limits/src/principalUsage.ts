import type { PrincipalId } from "./principalId.js";

/** Demand of one team or key at one entry. */
export interface PrincipalUsage {
    principalId: PrincipalId;
    /** Demand as a share of the limit that it comes closest to; above 1 where more is asked than allowed. */
    pressure: number;
}
