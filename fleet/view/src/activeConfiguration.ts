import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { FleetConfiguration } from "./fleetConfiguration.js";
import type { Route } from "./route.js";
import { RouteTable } from "./routeTable.js";
import type { ServiceDefinition } from "./serviceDefinition.js";
import type { Team } from "./team.js";

/** The configuration that this process applies. Its version never decreases. */
export class ActiveConfiguration {
    private configuration: FleetConfiguration | undefined;
    private table: RouteTable | undefined;
    private routesByName = new Map<string, Route>();
    private services = new Map<ServiceName, ServiceDefinition>();
    private teamsByKey = new Map<string, Team>();
    private servicesSinceMs = new Map<string, number>();
    private teamsById = new Map<TeamId, Team>();

    /** The active configuration; undefined before the first. */
    get current(): FleetConfiguration | undefined {
        return this.configuration;
    }

    /** Version of the active configuration; 0 before the first. */
    get version(): number {
        return this.configuration?.version ?? 0;
    }

    /**
     * Replaces the active configuration if the given one is newer.
     *
     * @param nowMs time since which the services of changed routes are known, Unix ms; by default they were always known
     * @returns whether it was replaced
     */
    adopt(configuration: FleetConfiguration, nowMs = -Infinity): boolean {
        if (configuration.version <= this.version) {
            return false;
        }
        this.servicesSinceMs = this.timeServices(configuration, nowMs);
        this.configuration = configuration;
        this.table = new RouteTable(configuration);
        this.routesByName = new Map(configuration.routes.map(route => [route.name, route]));
        this.services = new Map(configuration.services.map(service => [service.name, service]));
        this.teamsByKey = new Map((configuration.teams ?? []).flatMap(team => team.keys.map(key => [key, team])));
        this.teamsById = new Map((configuration.teams ?? []).map(team => [team.id, team]));
        return true;
    }

    /** Returns the route with the longest prefix of `path` on the host; undefined if none matches. */
    match(host: string, path: string): Route | undefined {
        return this.table?.match(host, path);
    }

    /** Returns the route with a name; undefined if there is none. */
    routeNamed(name: string): Route | undefined {
        return this.routesByName.get(name);
    }

    /**
     * Returns the time at which this process learned that the route leads to its services, Unix ms; -infinity if it has
     * known no others.
     */
    servicesKnownSinceMs(route: Route): number {
        return this.servicesSinceMs.get(placeOf(route)) ?? -Infinity;
    }

    /** Returns the routes of a host, shape [routes]. */
    routesOn(host: string): Route[] {
        return this.table?.routesOn(host) ?? [];
    }

    /** Returns the team that holds a key; undefined if no team does. */
    teamOf(key: string): Team | undefined {
        return this.teamsByKey.get(key);
    }

    /** Returns a team by its id; undefined if there is none. */
    teamWithId(teamId: TeamId): Team | undefined {
        return this.teamsById.get(teamId);
    }

    /**
     * Returns the number of connections that an upstream of the service accepts from all processes together; infinite
     * for a service without a definition.
     */
    maxConnections(service: ServiceName): number {
        return this.services.get(service)?.maxConnections ?? Infinity;
    }

    private timeServices({ routes }: FleetConfiguration, nowMs: number): Map<string, number> {
        const previous = new Map(this.configuration?.routes.map(route => [placeOf(route), servicesOf(route)]));
        return new Map(routes.map(route => {
            const isUnchanged = this.configuration === undefined || previous.get(placeOf(route)) === servicesOf(route);
            return [placeOf(route), isUnchanged ? this.servicesKnownSinceMs(route) : nowMs];
        }));
    }
}

function placeOf({ host, prefix }: Route): string {
    return `${host} ${prefix}`;
}

function servicesOf({ services }: Route): string {
    return services.map(({ service }) => service).sort().join();
}
