import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { RequestCount } from "./requestCount.js";
import type { TeamLevel } from "./teamLevel.js";

/** What a gateway reports to the others about the limited teams. */
export interface TeamUsage {
    /** Counts that changed a short time ago, shape [teams]. */
    counts: RequestCount<TeamId>[];
    /** Levels for gateways that started a short time ago, shape [teams]. */
    levels: TeamLevel[];
    /** Whether the buckets of all teams that `levels` lacks are empty. */
    areLevelsComplete: boolean;
}
