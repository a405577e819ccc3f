import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import { roleSets } from "./roleSets.js";
import type { Route } from "./route.js";

/** Returns the routes that list instances, and upstreams with their load. */
export function fleetRoutes(opts: OperatorsApiOptions): Route[] {
    return [
        {
            method: "GET",
            path: "/fleet",
            roles: roleSets.platform,
            handle: async () => ({
                instances: await opts.fleet.instances(),
                upstreams: await opts.fleet.upstreams(),
                revision: opts.configuration.current()?.revision ?? 0,
            }),
        },
        {
            method: "GET",
            path: "/fleet/instances",
            roles: roleSets.platform,
            handle: async () => ({ instances: await opts.fleet.instances() }),
        },
        {
            method: "GET",
            path: "/fleet/upstreams",
            roles: roleSets.platform,
            handle: async () => ({ upstreams: await opts.fleet.upstreams() }),
        },
    ];
}
