import type { Role } from "@knapweedwood/config.configuration/role";

/** Who may use a route. A route open to team operators checks that they touch only their own team. */
export const roleSets: { platform: readonly Role[]; operators: readonly Role[]; } = {
    platform: ["platform-operator"],
    operators: ["platform-operator", "team-operator"],
};
