import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { UsageTotals } from "./usageTotals.js";

/** Reads the usage of teams. */
export interface UsageView {
    /** Returns the totals of a UTC day (`YYYY-MM-DD`) by team. */
    usageOfDay(day: string): Promise<Map<TeamId, UsageTotals>>;
}
