import type { FleetConfiguration } from "./fleetConfiguration.js";
import type { Route } from "./route.js";
import { RouteTable } from "./routeTable.js";

/** The configuration that this process applies. It never goes back to an older version. */
export class ConfigurationInForce {
    private configuration: FleetConfiguration | undefined;
    private table: RouteTable | undefined;

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
        return true;
    }

    match(host: string, path: string): Route | undefined {
        return this.table?.match(host, path);
    }
}
