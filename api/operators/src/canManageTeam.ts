import type { OperatorCaller } from "./operatorCaller.js";

/** Returns whether the caller may see and change what belongs to a team. */
export function canManageTeam(caller: OperatorCaller, teamId: string): boolean {
    return caller.role === "platform-operator" || (caller.role === "team-operator" && caller.teamId === teamId);
}
