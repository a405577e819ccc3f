import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RoleDemand } from "./roleDemand.js";
import type { UpstreamPlan } from "./upstreamPlan.js";
import type { UpstreamRole } from "./upstreamRole.js";

/** Share by which demand must differ from what is planned before an upstream changes its role. */
const HYSTERESIS_SHARE = 0.15;
const MIN_ROLE_HOLD_MS = 60_000;

/** A role, and since when it is held. */
export interface HeldRole {
    role: UpstreamRole;
    roleSinceMs: number;
}

/**
 * Splits the replicas of a service between prefill and decode as demand has it. At most one upstream changes its role
 * a call, none before its role has been held for a while, and each role keeps at least one.
 */
export function planRoles(
    opts: {
        service: ServiceDefinition;
        chosen: readonly InstanceId[];
        previous: ReadonlyMap<InstanceId, UpstreamPlan>;
        demand: RoleDemand | undefined;
        nowMs: number;
    },
): Map<InstanceId, HeldRole> {
    const { service, chosen, nowMs } = opts;
    const isSplit = service.roles.includes("prefill") && service.roles.includes("decode") && chosen.length > 1;
    if (!isSplit) {
        const role = service.roles.includes("any") ? "any" : service.roles[0] ?? "any";
        return new Map(chosen.map(instanceId => [instanceId, held(opts, instanceId, role)]));
    }
    const roles = initialRoles(opts);
    const change = roleChange(opts, roles);
    if (change !== undefined) {
        roles.set(change.instanceId, { role: change.role, roleSinceMs: nowMs });
    }
    return roles;
}

function initialRoles(
    opts: { chosen: readonly InstanceId[]; previous: ReadonlyMap<InstanceId, UpstreamPlan>; nowMs: number; },
): Map<InstanceId, HeldRole> {
    const roles = new Map<InstanceId, HeldRole>();
    opts.chosen.forEach(instanceId => {
        const before = opts.previous.get(instanceId);
        if (before !== undefined && before.role !== "any") {
            roles.set(instanceId, { role: before.role, roleSinceMs: before.roleSinceMs });
        }
    });
    opts.chosen.filter(instanceId => !roles.has(instanceId)).forEach(instanceId => {
        const count = (role: UpstreamRole) => [...roles.values()].filter(other => other.role === role).length;
        const role = count("prefill") < count("decode") ? "prefill" : "decode";
        roles.set(instanceId, { role, roleSinceMs: opts.nowMs });
    });
    return roles;
}

function roleChange(
    opts: { demand: RoleDemand | undefined; nowMs: number; },
    roles: Map<InstanceId, HeldRole>,
): { instanceId: InstanceId; role: UpstreamRole; } | undefined {
    const inRole = (role: UpstreamRole) => [...roles.entries()].filter(([, other]) => other.role === role);
    const total = (opts.demand?.prefill ?? 0) + (opts.demand?.decode ?? 0);
    const excess = total === 0
        ? 0
        : inRole("prefill").length / roles.size - (opts.demand?.prefill ?? 0) / total;
    const isMissing = inRole("prefill").length === 0 || inRole("decode").length === 0;
    if (Math.abs(excess) <= HYSTERESIS_SHARE && !isMissing) {
        return undefined;
    }
    const isPrefillAbundant = isMissing ? inRole("decode").length === 0 : excess > 0;
    const abundant = inRole(isPrefillAbundant ? "prefill" : "decode");
    const movable = abundant.find(([, other]) => isMissing || opts.nowMs - other.roleSinceMs >= MIN_ROLE_HOLD_MS);
    return abundant.length <= 1 || movable === undefined
        ? undefined
        : { instanceId: movable[0], role: isPrefillAbundant ? "decode" : "prefill" };
}

function held(
    opts: { previous: ReadonlyMap<InstanceId, UpstreamPlan>; nowMs: number; },
    instanceId: InstanceId,
    role: UpstreamRole,
): HeldRole {
    const before = opts.previous.get(instanceId);
    return { role, roleSinceMs: before?.role === role ? before.roleSinceMs : opts.nowMs };
}
