import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { UpstreamPlan } from "./upstreamPlan.js";

/** The planner gives a side the plan of its upstream, and gets what the engine holds; one frame. */
export const exchangePlanCall = defineCall<
    {
        fencingNumber: FencingNumber;
        planNumber: number;
        /** Undefined before the upstream is planned for. */
        upstream: UpstreamPlan | undefined;
    },
    { engine?: EngineState; }
>("placement.exchange-plan");
