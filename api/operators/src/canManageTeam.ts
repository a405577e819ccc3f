import type { OperatorCaller } from "./operatorCaller.js";

/** Returns whether the caller may see and change a team, its keys, services, jobs and usage. */
export function canManageTeam(caller: OperatorCaller, teamId: string): boolean {
    return caller.role === "platform-operator" || (caller.role === "team-operator" && caller.teamId === teamId);
}
