import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { UpstreamPlan } from "./upstreamPlan.js";

/** What all upstreams of a region are to hold. */
export interface RegionPlan {
    /** That of the planner's lease. Grows with each change of planner. */
    fencingNumber: FencingNumber;
    /** Grows with each plan of one planner. */
    planNumber: number;
    upstreams: UpstreamPlan[];
}
