import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Figures of one team's calls over the measured span of a load pattern. */
export interface TeamFigures {
    teamId: TeamId;
    isUsual: boolean;
    calls: number;
    /** Number of calls whose first event was on time, counted from the first attempt. */
    onTime: number;
    /** Number of calls that got an event at all. */
    served: number;
    /** Number of calls that were rejected at least once. */
    refused: number;
}
