import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { UpstreamPlan } from "./upstreamPlan.js";

/** The plan for all upstreams of a region. */
export interface RegionPlan {
    /** Fencing number of the planner's lease. Increases with each change of planner. */
    fencingNumber: FencingNumber;
    /** Increases with each plan of one planner. */
    planNumber: number;
    upstreams: UpstreamPlan[];
}
