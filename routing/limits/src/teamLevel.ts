import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Level of a team's bucket in the view of one gateway, in requests. */
export interface TeamLevel {
    teamId: TeamId;
    level: number;
}
