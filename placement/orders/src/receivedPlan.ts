import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { UpstreamPlan } from "@knapweedwood/placement.planner/upstreamPlan";

/** The part of a region's plan for one upstream, as received by its side. */
export interface ReceivedPlan {
    fencingNumber: FencingNumber;
    planNumber: number;
    upstream: UpstreamPlan;
}
