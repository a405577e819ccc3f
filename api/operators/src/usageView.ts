import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { UsageTotals } from "./usageTotals.js";

/** What teams have used. */
export interface UsageView {
    /** Totals of one UTC day (`YYYY-MM-DD`) by team. */
    usageOfDay(day: string): Promise<Map<TeamId, UsageTotals>>;
}
