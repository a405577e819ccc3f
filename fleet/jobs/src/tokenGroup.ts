import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Whose waiting tokens are limited together: those of a team on a route, or of all callers without a team. */
export interface TokenGroup {
    routeName: string;
    team?: TeamId;
}
