import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { UsageTotals } from "./usageTotals.js";

/** Usage of a team to add to its totals. */
export interface UsageRecord extends Partial<UsageTotals> {
    teamId: TeamId;
}
