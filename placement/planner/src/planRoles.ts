import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RoleDemand } from "./roleDemand.js";
import type { UpstreamPlan } from "./upstreamPlan.js";
import type { UpstreamRole } from "./upstreamRole.js";

/** An upstream changes its role if the planned and demanded shares of prefill differ by more than this. */
const HYSTERESIS_SHARE = 0.15;
const MIN_ROLE_HOLD_MS = 60_000;

/** The role of an upstream and the time of its assignment. */
export interface RoleAssignment {
    role: UpstreamRole;
    roleSinceMs: number;
}

/**
 * Splits the replicas of a service between prefill and decode in proportion to demand. At most one upstream changes its
 * role per call, and only after it has had its role for a minimum time. Each role keeps at least one upstream. If a
 * role has none, an upstream changes to it without the minimum time.
 */
export function planRoles(
    opts: {
        service: ServiceDefinition;
        chosen: readonly InstanceId[];
        previous: ReadonlyMap<InstanceId, UpstreamPlan>;
        demand: RoleDemand | undefined;
        nowMs: number;
    },
): Map<InstanceId, RoleAssignment> {
    const { service, chosen, nowMs } = opts;
    const isSplit = service.roles.includes("prefill") && service.roles.includes("decode") && chosen.length > 1;
    if (!isSplit) {
        const role = service.roles.includes("any") ? "any" : service.roles[0] ?? "any";
        return new Map(chosen.map(instanceId => [instanceId, assignmentOf(opts, instanceId, role)]));
    }
    const roles = initialRoles(opts);
    const change = chooseRoleChange(opts, roles);
    if (change !== undefined) {
        roles.set(change.instanceId, { role: change.role, roleSinceMs: nowMs });
    }
    return roles;
}

function initialRoles(
    opts: { chosen: readonly InstanceId[]; previous: ReadonlyMap<InstanceId, UpstreamPlan>; nowMs: number; },
): Map<InstanceId, RoleAssignment> {
    const roles = new Map<InstanceId, RoleAssignment>();
    opts.chosen.forEach(instanceId => {
        const previous = opts.previous.get(instanceId);
        if (previous !== undefined && previous.role !== "any") {
            roles.set(instanceId, { role: previous.role, roleSinceMs: previous.roleSinceMs });
        }
    });
    opts.chosen.filter(instanceId => !roles.has(instanceId)).forEach(instanceId => {
        const count = (role: UpstreamRole) => [...roles.values()].filter(other => other.role === role).length;
        const role = count("prefill") < count("decode") ? "prefill" : "decode";
        roles.set(instanceId, { role, roleSinceMs: opts.nowMs });
    });
    return roles;
}

function chooseRoleChange(
    opts: { demand: RoleDemand | undefined; nowMs: number; },
    roles: Map<InstanceId, RoleAssignment>,
): { instanceId: InstanceId; role: UpstreamRole; } | undefined {
    const inRole = (role: UpstreamRole) => [...roles.entries()].filter(([, other]) => other.role === role);
    const total = (opts.demand?.prefill ?? 0) + (opts.demand?.decode ?? 0);
    const prefillExcess = total === 0
        ? 0
        : inRole("prefill").length / roles.size - (opts.demand?.prefill ?? 0) / total;
    const isRoleMissing = inRole("prefill").length === 0 || inRole("decode").length === 0;
    if (Math.abs(prefillExcess) <= HYSTERESIS_SHARE && !isRoleMissing) {
        return undefined;
    }
    const isPrefillSurplus = isRoleMissing ? inRole("decode").length === 0 : prefillExcess > 0;
    const surplus = inRole(isPrefillSurplus ? "prefill" : "decode");
    const candidate = surplus.find(([, other]) => isRoleMissing || opts.nowMs - other.roleSinceMs >= MIN_ROLE_HOLD_MS);
    return surplus.length <= 1 || candidate === undefined
        ? undefined
        : { instanceId: candidate[0], role: isPrefillSurplus ? "decode" : "prefill" };
}

function assignmentOf(
    opts: { previous: ReadonlyMap<InstanceId, UpstreamPlan>; nowMs: number; },
    instanceId: InstanceId,
    role: UpstreamRole,
): RoleAssignment {
    const previous = opts.previous.get(instanceId);
    return { role, roleSinceMs: previous?.role === role ? previous.roleSinceMs : opts.nowMs };
}
