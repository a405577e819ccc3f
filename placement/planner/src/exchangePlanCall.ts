import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { UpstreamPlan } from "./upstreamPlan.js";

/** Sends a side the plan of its upstream and returns the state of its engine. The response is one frame. */
export const exchangePlanCall = defineCall<
    {
        fencingNumber: FencingNumber;
        planNumber: number;
        /** Undefined before the first plan for the upstream. */
        upstream: UpstreamPlan | undefined;
    },
    { engine?: EngineState; }
>("placement.exchange-plan");
