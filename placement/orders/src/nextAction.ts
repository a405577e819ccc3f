import type { EngineOrder } from "@knapweedwood/engines.model-engine/engineOrder";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import type { UpstreamPlan } from "@knapweedwood/placement.planner/upstreamPlan";

/**
 * Returns the next action that brings the engine closer to its plan, or undefined if no action is left. Nothing is
 * unloaded before all desired models are ready, except models that failed to load.
 */
export function nextAction(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    return unloadFailed(engine, plan)
        ?? loadModel(engine, plan)
        ?? loadAdapter(engine, plan)
        ?? setRole(engine, plan)
        ?? (isReady(engine, plan) ? unloadModel(engine, plan) ?? unloadAdapter(engine, plan) : undefined);
}

function unloadFailed(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const failed = engine.models.find(current => current.state === "failed" && !isDesiredModel(plan, current));
    return failed === undefined ? undefined : { kind: "unload-model", model: failed.model, version: failed.version };
}

function loadModel(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const missing = plan.models.find(desired =>
        !engine.models.some(current => current.model === desired.model && current.version === desired.version)
    );
    return missing === undefined ? undefined : { kind: "load-model", ...missing };
}

function loadAdapter(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const hasReadyModel = engine.models.some(current => current.state === "ready" && isDesiredModel(plan, current));
    const missing = plan.adapters.find(desired =>
        !engine.adapters.some(current => current.adapter === desired.adapter && current.version === desired.version)
    );
    return missing === undefined || !hasReadyModel ? undefined : { kind: "load-adapter", ...missing };
}

function setRole(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    return engine.role === plan.role ? undefined : { kind: "set-role", role: plan.role };
}

function unloadModel(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const surplus = engine.models.find(current => !isDesiredModel(plan, current));
    return surplus === undefined ? undefined : { kind: "unload-model", model: surplus.model, version: surplus.version };
}

function unloadAdapter(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const surplus = engine.adapters.find(current =>
        !plan.adapters.some(desired => desired.adapter === current.adapter)
    );
    return surplus === undefined ? undefined : { kind: "unload-adapter", adapter: surplus.adapter };
}

function isReady(engine: EngineState, plan: UpstreamPlan): boolean {
    return plan.models.every(desired =>
        engine.models.some(current =>
            current.model === desired.model && current.version === desired.version && current.state === "ready"
        )
    );
}

function isDesiredModel(plan: UpstreamPlan, current: EngineState["models"][number]): boolean {
    return plan.models.some(desired => desired.model === current.model && desired.version === current.version);
}
