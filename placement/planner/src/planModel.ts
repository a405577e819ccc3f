import type { ModelDefinition } from "@knapweedwood/config.configuration/modelDefinition";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import type { LoadBudget } from "./loadBudget.js";
import type { UpstreamObservation } from "./upstreamObservation.js";

/**
 * The versions of one model that each upstream is to hold. A new version first goes to one upstream; only where it
 * became ready there does it go to the others, and an upstream gives up the old version once the new one is ready on it.
 * Upstreams that are no longer chosen keep theirs until the chosen ones are ready.
 */
export function planModel(
    opts: {
        model: ModelDefinition;
        chosen: readonly UpstreamObservation[];
        members: readonly UpstreamObservation[];
        budget: LoadBudget;
    },
): Map<InstanceId, ModelVersion[]> {
    const { model, chosen, members, budget } = opts;
    const readyCount = chosen.filter(upstream => isReady(upstream, model)).length;
    const isRollout = readyCount === 0 && members.some(upstream => oldVersions(upstream, model).length > 0);
    const canary = isRollout ? findCanary(chosen, model) : undefined;
    const chosenIds = new Set(chosen.map(upstream => upstream.instanceId));
    return new Map(members.map(upstream => {
        const old = oldVersions(upstream, model);
        if (!chosenIds.has(upstream.instanceId)) {
            const kept = readyCount < chosen.length || upstream.state === "leaving"
                ? heldVersions(upstream, model)
                : [];
            return [upstream.instanceId, kept];
        }
        if (isReady(upstream, model)) {
            return [upstream.instanceId, [model.version]];
        }
        const mayLoad = (canary === undefined || canary.instanceId === upstream.instanceId)
            && (holds(upstream, model) || (upstream.engine !== undefined && budget.take(upstream.instanceId)));
        return [upstream.instanceId, mayLoad ? [...old, model.version] : old];
    }));
}

function findCanary(chosen: readonly UpstreamObservation[], model: ModelDefinition): UpstreamObservation | undefined {
    return chosen.find(upstream => holds(upstream, model)) ?? chosen.find(upstream => upstream.engine !== undefined);
}

function isReady(upstream: UpstreamObservation, wanted: ModelDefinition): boolean {
    return upstream.engine?.models.some(held =>
        held.model === wanted.name && held.version === wanted.version && held.state === "ready"
    ) === true;
}

function holds(upstream: UpstreamObservation, wanted: ModelDefinition): boolean {
    return heldVersions(upstream, wanted).includes(wanted.version);
}

function heldVersions(upstream: UpstreamObservation, wanted: ModelDefinition): ModelVersion[] {
    return (upstream.engine?.models ?? [])
        .filter(held => held.model === wanted.name)
        .map(held => held.version);
}

function oldVersions(upstream: UpstreamObservation, wanted: ModelDefinition): ModelVersion[] {
    return (upstream.engine?.models ?? [])
        .filter(held => held.model === wanted.name && held.version !== wanted.version && held.state === "ready")
        .map(held => held.version);
}
