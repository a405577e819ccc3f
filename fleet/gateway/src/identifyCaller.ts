import type { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { CallerIdentity } from "./callerIdentity.js";

/**
 * Finds the team of a caller by its key.
 *
 * @param key value of the key header; undefined if the caller sent none
 */
export function identifyCaller(
    configuration: ActiveConfiguration,
    route: Pick<Route, "isAnonymous">,
    key: string | undefined,
): CallerIdentity {
    const hasTeams = configuration.current?.teams !== undefined;
    const team = hasTeams && key !== undefined ? configuration.teamOf(key) : undefined;
    const needsKey = hasTeams && !route.isAnonymous;
    return team === undefined && needsKey ? { kind: "unknown-key" } : { kind: "identified", team };
}
