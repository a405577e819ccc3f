import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Decision on one request of a limited team. */
export interface RateAdmission {
    teamId: TeamId;
    isAdmitted: boolean;
    /** Time until the bucket has room for this caller, in milliseconds; 0 if admitted. */
    retryAfterMs: number;
    /** Level of the bucket after the decision, in requests. */
    level: number;
    /** Metered time at which the request has drained from the bucket, in milliseconds. */
    drainedAtMs: number;
}
