import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Number of requests of a team that one gateway has admitted. */
export interface TeamCount {
    teamId: TeamId;
    /** Since the gateway started to count, without the requests that were released. */
    admitted: number;
    /** Those of the last 0.6 to 1.2 s, for receivers that know no earlier count. */
    recentlyAdmitted: number;
}
