import type { ActiveRevisionResponse } from "../activeRevisionResponse.js";
import { ApiCommand } from "../apiCommand.js";
import type { FleetResponse } from "../fleetResponse.js";
import { formatFleet } from "../formatFleet.js";

/** Shows instances, upstreams with their load, and on how many processes the configuration is active. */
export default class Status extends ApiCommand {
    static override description = "show the fleet and the active configuration";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(Status);
        const client = this.client(flags);
        const fleet = await client.get("/admin/v1/fleet") as unknown as FleetResponse;
        const activeRevision = await client.get(
            "/admin/v1/configuration/in-force",
        ) as unknown as ActiveRevisionResponse;
        formatFleet(fleet, activeRevision).forEach(line => this.log(line));
        return { ...fleet, inForce: activeRevision };
    }
}
