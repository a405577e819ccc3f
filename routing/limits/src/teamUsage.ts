import type { TeamCount } from "./teamCount.js";
import type { TeamLevel } from "./teamLevel.js";

/** What a gateway reports to the others about the limited teams. */
export interface TeamUsage {
    /** Counts that changed a short time ago, shape [teams]. */
    counts: TeamCount[];
    /** Levels for gateways that started a short time ago, shape [teams]. */
    levels: TeamLevel[];
    /** Whether the buckets of all teams that `levels` lacks are empty. */
    areLevelsComplete: boolean;
}
