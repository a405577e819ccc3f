import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { ObservedUpstream } from "./observedUpstream.js";
import type { RoleDemand } from "./roleDemand.js";
import type { UpstreamPlan } from "./upstreamPlan.js";

/** Input from which a plan is computed. */
export interface PlanningInput {
    services: readonly ServiceDefinition[];
    /** Observed upstreams of the region, shape [upstreams]. */
    upstreams: readonly ObservedUpstream[];
    /** The plan computed before, shape [planned upstreams]. */
    previous: readonly UpstreamPlan[];
    demands: readonly RoleDemand[];
    /** Maximum number of concurrent loads in the region, as allowed by the weight store's rate. */
    maxConcurrentLoads: number;
    nowMs: number;
}
