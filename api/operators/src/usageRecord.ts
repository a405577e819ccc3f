import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { UsageTotals } from "./usageTotals.js";

/** Something that a team used. */
export interface UsageRecord extends Partial<UsageTotals> {
    teamId: TeamId;
}
