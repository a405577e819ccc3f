import type { CallerLimits } from "./callerLimits.js";
import type { Route } from "./route.js";
import type { ServiceDefinition } from "./serviceDefinition.js";

/** A complete configuration as published by the operators. */
export interface FleetConfiguration {
    /** Increases with each published configuration. */
    version: number;
    routes: Route[];
    services: ServiceDefinition[];
    limits: CallerLimits;
}
