import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Outcome of one call. Times are in milliseconds of the simulation clock. */
export interface CallOutcome {
    teamId: TeamId | undefined;
    arrivedAtMs: number;
    /** Undefined where no event arrived. */
    firstEventAtMs: number | undefined;
    /** Start of the last attempt. */
    lastAttemptAtMs: number;
    /** Number of rejected attempts. */
    rejections: number;
}
