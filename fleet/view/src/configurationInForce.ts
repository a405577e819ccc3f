import type { FleetConfiguration } from "./fleetConfiguration.js";
import type { Route } from "./route.js";
import { RouteTable } from "./routeTable.js";

/** The configuration that this process applies. It never goes back to an older version. */
export class ConfigurationInForce {
    private configuration: FleetConfiguration | undefined;
    private table: RouteTable | undefined;
    private adoptedAtMs = 0;

    get current(): FleetConfiguration | undefined {
        return this.configuration;
    }

    get version(): number {
        return this.configuration?.version ?? 0;
    }

    /** @returns whether the configuration is newer and now in force */
    adopt(configuration: FleetConfiguration, nowMs: number): boolean {
        if (configuration.version <= this.version) {
            return false;
        }
        this.configuration = configuration;
        this.table = new RouteTable(configuration);
        this.adoptedAtMs = nowMs;
        return true;
    }

    /** Time since the configuration came into force, in milliseconds. */
    ageMs(nowMs: number): number {
        return nowMs - this.adoptedAtMs;
    }

    match(host: string, path: string): Route | undefined {
        return this.table?.match(host, path);
    }
}
