import type { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { CallerIdentity } from "./callerIdentity.js";
import { identifyCaller } from "./identifyCaller.js";

/**
 * Finds the team of a caller about an existing job, which names only the host. A key is needed unless all batch routes of
 * the host are anonymous.
 *
 * @param key value of the key header; undefined if the caller sent none
 */
export function identifyJobCaller(
    configuration: ActiveConfiguration,
    host: string,
    key: string | undefined,
): CallerIdentity {
    const routes = configuration.routesOn(host).filter(route => route.kind === "batch");
    const isAnonymous = routes.length > 0 && routes.every(route => route.isAnonymous);
    return identifyCaller(configuration, { isAnonymous }, key);
}
