import type { CallerLimits } from "./callerLimits.js";
import type { Route } from "./route.js";
import type { ServiceDefinition } from "./serviceDefinition.js";

/** A configuration of the operators, whole. */
export interface FleetConfiguration {
    /** Only rises. */
    version: number;
    routes: Route[];
    services: ServiceDefinition[];
    limits: CallerLimits;
}
