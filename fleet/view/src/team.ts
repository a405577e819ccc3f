import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** A team that shares the deployment, with its keys and limits. */
export interface Team {
    /** The name by which the configuration and the upstreams know the team. */
    id: TeamId;
    /** Secrets of the API keys, shape [keys]. */
    keys: string[];
    /** Replaces the priority of the route, 0 is the most urgent; undefined if the route's applies. */
    priority: number | undefined;
    /** Online requests per second over all gateways; undefined for no limit. */
    requestsPerSecond: number | undefined;
    /** Online requests that may be admitted at once after a pause. */
    burst: number;
}
