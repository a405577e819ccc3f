import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** A team with the limit of its requests over all gateways. */
export interface LimitedTeam {
    id: TeamId;
    /** Undefined for no limit. */
    requestsPerSecond: number | undefined;
    /** Requests that may be admitted at once after a pause. A value below 1 counts as 1. */
    burst: number;
}
