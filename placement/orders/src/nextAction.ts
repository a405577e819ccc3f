import type { EngineOrder } from "@knapweedwood/engines.model-engine/engineOrder";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import type { UpstreamPlan } from "@knapweedwood/placement.planner/upstreamPlan";

/**
 * The next order that brings the engine closer to its plan; undefined where nothing is left to order. Nothing is
 * unloaded before all that is wanted is ready, but for what failed to load.
 */
export function nextAction(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    return unloadFailed(engine, plan)
        ?? loadModel(engine, plan)
        ?? loadAdapter(engine, plan)
        ?? setRole(engine, plan)
        ?? (isReady(engine, plan) ? unloadModel(engine, plan) ?? unloadAdapter(engine, plan) : undefined);
}

function unloadFailed(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const failed = engine.models.find(held => held.state === "failed" && !wantsModel(plan, held));
    return failed === undefined ? undefined : { kind: "unload-model", model: failed.model, version: failed.version };
}

function loadModel(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const missing = plan.models.find(wanted =>
        !engine.models.some(held => held.model === wanted.model && held.version === wanted.version)
    );
    return missing === undefined ? undefined : { kind: "load-model", ...missing };
}

function loadAdapter(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const hasReadyModel = engine.models.some(held => held.state === "ready" && wantsModel(plan, held));
    const missing = plan.adapters.find(wanted =>
        !engine.adapters.some(held => held.adapter === wanted.adapter && held.version === wanted.version)
    );
    return missing === undefined || !hasReadyModel ? undefined : { kind: "load-adapter", ...missing };
}

function setRole(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    return engine.role === plan.role ? undefined : { kind: "set-role", role: plan.role };
}

function unloadModel(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const surplus = engine.models.find(held => !wantsModel(plan, held));
    return surplus === undefined ? undefined : { kind: "unload-model", model: surplus.model, version: surplus.version };
}

function unloadAdapter(engine: EngineState, plan: UpstreamPlan): EngineOrder["action"] | undefined {
    const surplus = engine.adapters.find(held => !plan.adapters.some(wanted => wanted.adapter === held.adapter));
    return surplus === undefined ? undefined : { kind: "unload-adapter", adapter: surplus.adapter };
}

function isReady(engine: EngineState, plan: UpstreamPlan): boolean {
    return plan.models.every(wanted =>
        engine.models.some(held =>
            held.model === wanted.model && held.version === wanted.version && held.state === "ready"
        )
    );
}

function wantsModel(plan: UpstreamPlan, held: EngineState["models"][number]): boolean {
    return plan.models.some(wanted => wanted.model === held.model && wanted.version === held.version);
}
