import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { FleetConfiguration } from "./fleetConfiguration.js";
import type { Route } from "./route.js";
import { RouteTable } from "./routeTable.js";
import type { ServiceDefinition } from "./serviceDefinition.js";

/** The configuration that this process applies. It never goes back to an older version. */
export class ActiveConfiguration {
    private configuration: FleetConfiguration | undefined;
    private table: RouteTable | undefined;
    private services = new Map<ServiceName, ServiceDefinition>();

    get current(): FleetConfiguration | undefined {
        return this.configuration;
    }

    get version(): number {
        return this.configuration?.version ?? 0;
    }

    /** @returns whether the configuration is newer and now in force */
    adopt(configuration: FleetConfiguration): boolean {
        if (configuration.version <= this.version) {
            return false;
        }
        this.configuration = configuration;
        this.table = new RouteTable(configuration);
        this.services = new Map(configuration.services.map(service => [service.name, service]));
        return true;
    }

    match(host: string, path: string): Route | undefined {
        return this.table?.match(host, path);
    }

    /** Connections that an upstream of the service accepts from all processes together; no limit where none is known. */
    maxConnections(service: ServiceName): number {
        return this.services.get(service)?.maxConnections ?? Infinity;
    }
}
