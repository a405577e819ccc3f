import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { RoleDemand } from "./roleDemand.js";
import type { UpstreamObservation } from "./upstreamObservation.js";
import type { UpstreamPlan } from "./upstreamPlan.js";

/** All that a plan follows from. */
export interface PlanningInput {
    services: readonly ServiceDefinition[];
    upstreams: readonly UpstreamObservation[];
    previous: readonly UpstreamPlan[];
    demands: readonly RoleDemand[];
    /** Loads that the weight store's rate allows at once in the region. */
    maxConcurrentLoads: number;
    nowMs: number;
}
