import type { ModelDefinition } from "@knapweedwood/config.configuration/modelDefinition";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import type { LoadBudget } from "./loadBudget.js";
import type { ObservedUpstream } from "./observedUpstream.js";

/**
 * Returns the versions of one model that each upstream should have loaded. A new version is first loaded on one
 * upstream, the canary, and on the others only after it is ready there. An upstream unloads the old version once the
 * new one is ready on it. Upstreams that are no longer chosen keep their versions until all chosen upstreams are ready.
 * Those that are leaving always keep them.
 */
export function planModel(
    opts: {
        model: ModelDefinition;
        chosen: readonly ObservedUpstream[];
        members: readonly ObservedUpstream[];
        budget: LoadBudget;
    },
): Map<InstanceId, ModelVersion[]> {
    const { model, chosen, members, budget } = opts;
    const readyCount = chosen.filter(upstream => isReady(upstream, model)).length;
    const isRollout = readyCount === 0 && members.some(upstream => oldReadyVersions(upstream, model).length > 0);
    const canary = isRollout ? findCanary(chosen, model) : undefined;
    const chosenIds = new Set(chosen.map(upstream => upstream.instanceId));
    return new Map(members.map(upstream => {
        const oldVersions = oldReadyVersions(upstream, model);
        if (!chosenIds.has(upstream.instanceId)) {
            const kept = readyCount < chosen.length || upstream.state === "leaving"
                ? currentVersions(upstream, model)
                : [];
            return [upstream.instanceId, kept];
        }
        if (isReady(upstream, model)) {
            return [upstream.instanceId, [model.version]];
        }
        const mayLoad = (canary === undefined || canary.instanceId === upstream.instanceId)
            && (hasVersion(upstream, model) || (upstream.engine !== undefined && budget.take(upstream.instanceId)));
        return [upstream.instanceId, mayLoad ? [...oldVersions, model.version] : oldVersions];
    }));
}

function findCanary(chosen: readonly ObservedUpstream[], model: ModelDefinition): ObservedUpstream | undefined {
    return chosen.find(upstream => hasVersion(upstream, model))
        ?? chosen.find(upstream => upstream.engine !== undefined);
}

function isReady(upstream: ObservedUpstream, model: ModelDefinition): boolean {
    return upstream.engine?.models.some(current =>
        current.model === model.name && current.version === model.version && current.state === "ready"
    ) === true;
}

function hasVersion(upstream: ObservedUpstream, model: ModelDefinition): boolean {
    return currentVersions(upstream, model).includes(model.version);
}

function currentVersions(upstream: ObservedUpstream, model: ModelDefinition): ModelVersion[] {
    return (upstream.engine?.models ?? [])
        .filter(current => current.model === model.name)
        .map(current => current.version);
}

function oldReadyVersions(upstream: ObservedUpstream, model: ModelDefinition): ModelVersion[] {
    return (upstream.engine?.models ?? [])
        .filter(current =>
            current.model === model.name && current.version !== model.version && current.state === "ready"
        )
        .map(current => current.version);
}
