import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Returns whether a team may call a service. Without `callableBy`, every team may. */
export function mayCall(service: ServiceDefinition, teamId: TeamId): boolean {
    return service.callableBy === undefined || service.team === teamId || service.callableBy.includes(teamId);
}
