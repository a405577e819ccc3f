import type { Role } from "@knapweedwood/config.configuration/role";

/** The roles that may use a route. A route for team operators checks that they access only their own team. */
export const roleSets: { platform: readonly Role[]; operators: readonly Role[]; } = {
    platform: ["platform-operator"],
    operators: ["platform-operator", "team-operator"],
};
