import type { CallerLimits } from "./callerLimits.js";
import type { Route } from "./route.js";
import type { ServiceDefinition } from "./serviceDefinition.js";
import type { Team } from "./team.js";

/** A complete configuration as published by the operators. */
export interface FleetConfiguration {
    /** Increases with each published configuration. */
    version: number;
    routes: Route[];
    services: ServiceDefinition[];
    limits: CallerLimits;
    /** The teams that may call, shape [teams]; undefined if callers need no key. */
    teams: Team[] | undefined;
}
