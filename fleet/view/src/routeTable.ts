import type { FleetConfiguration } from "./fleetConfiguration.js";
import type { Route } from "./route.js";

/** Finds the route of a request: the one with the longest matching prefix among the routes of its host. */
export class RouteTable {
    private readonly routesByHost: Map<string, Map<string, Route>>;

    constructor(configuration: FleetConfiguration) {
        this.routesByHost = new Map();
        configuration.routes.forEach(route => {
            const routes = this.routesByHost.get(route.host) ?? new Map<string, Route>();
            routes.set(route.prefix, route);
            this.routesByHost.set(route.host, routes);
        });
    }

    /** Returns the routes of a host, shape [routes]. `host` may have a port. */
    routesOn(host: string): Route[] {
        return [...this.routesByHost.get(normalizeHost(host))?.values() ?? []];
    }

    /**
     * Returns the matching route; undefined if there is none.
     *
     * @param host the Host header, with or without a port
     * @param path the path of the request, without its query
     */
    match(host: string, path: string): Route | undefined {
        const routes = this.routesByHost.get(normalizeHost(host));
        if (routes === undefined) {
            return undefined;
        }
        // One lookup per slash of the path: the cost does not grow with the number of routes.
        for (
            let slash = path.lastIndexOf("/");
            slash >= 0;
            slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1)
        ) {
            const route = routes.get(path.slice(0, slash + 1));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }
}

function normalizeHost(host: string): string {
    const colon = host.indexOf(":");
    return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
