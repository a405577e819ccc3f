import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { UpstreamPlan } from "@knapweedwood/placement.planner/upstreamPlan";

/** The part of a region's plan that concerns one upstream, as its side received it. */
export interface ReceivedPlan {
    fencingNumber: FencingNumber;
    planNumber: number;
    upstream: UpstreamPlan;
}
