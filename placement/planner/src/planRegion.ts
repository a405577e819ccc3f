import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import { chooseReplicas } from "./chooseReplicas.js";
import { LoadBudget } from "./loadBudget.js";
import type { ObservedUpstream } from "./observedUpstream.js";
import { planModel } from "./planModel.js";
import type { PlanningInput } from "./planningInput.js";
import { planRoles } from "./planRoles.js";
import type { UpstreamPlan } from "./upstreamPlan.js";

/**
 * Returns the next plan for each upstream of a region. Level-triggered: it is called again whenever the observed state
 * changes.
 */
export function planRegion(input: PlanningInput): UpstreamPlan[] {
    const budget = new LoadBudget({ upstreams: input.upstreams, limit: input.maxConcurrentLoads });
    return input.services
        .filter(service => service.kind === "model-engine")
        .flatMap(service => planService(service, input, budget));
}

function planService(service: ServiceDefinition, input: PlanningInput, budget: LoadBudget): UpstreamPlan[] {
    const previous = new Map(input.previous.map(plan => [plan.instanceId, plan]));
    const members = input.upstreams.filter(upstream => upstream.service === service.name);
    const chosen = chooseReplicas({
        key: `placement/${service.name}`,
        count: service.replicas ?? members.length,
        candidates: members,
        previous: new Set(input.previous.filter(plan => plan.models.length > 0).map(plan => plan.instanceId)),
    });
    const roles = planRoles({
        service,
        chosen: chosen.map(upstream => upstream.instanceId),
        previous,
        demand: input.demands.find(demand => demand.service === service.name),
        nowMs: input.nowMs,
    });
    const versions = service.models.map(model => ({
        model,
        byUpstream: planModel({ model, chosen, members, budget }),
    }));
    return members.flatMap((upstream): UpstreamPlan[] => {
        if (upstream.engine === undefined) {
            // The engine's state is unknown, so its plan is not changed.
            const before = previous.get(upstream.instanceId);
            return before === undefined ? [] : [before];
        }
        const models = versions.flatMap(({ model, byUpstream }) =>
            (byUpstream.get(upstream.instanceId) ?? []).map(version => ({ model: model.name, version }))
        );
        const { role, roleSinceMs } = roles.get(upstream.instanceId) ?? keptRole(upstream, previous, input.nowMs);
        return [{ instanceId: upstream.instanceId, models, adapters: adaptersOf(service, models), role, roleSinceMs }];
    });
}

/** Returns the adapters of all models in the plan. */
function adaptersOf(service: ServiceDefinition, models: UpstreamPlan["models"]): UpstreamPlan["adapters"] {
    return service.models
        .filter(model => models.some(planned => planned.model === model.name))
        .flatMap(model => model.adapters.map(({ name, version }) => ({ adapter: name, version })));
}

function keptRole(
    upstream: ObservedUpstream,
    previous: Map<InstanceId, UpstreamPlan>,
    nowMs: number,
): Pick<UpstreamPlan, "role" | "roleSinceMs"> {
    const before = previous.get(upstream.instanceId);
    return { role: before?.role ?? upstream.engine?.role ?? "any", roleSinceMs: before?.roleSinceMs ?? nowMs };
}
