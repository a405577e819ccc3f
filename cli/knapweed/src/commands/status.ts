import { ApiCommand } from "../apiCommand.js";
import type { FleetAnswer } from "../fleetAnswer.js";
import { fleetLines } from "../fleetLines.js";
import type { InForceAnswer } from "../inForceAnswer.js";

/** Shows instances, upstreams with their load, and on how many processes the configuration is in force. */
export default class Status extends ApiCommand {
    static override description = "show the fleet and the configuration in force";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(Status);
        const client = this.client(flags);
        const fleet = await client.get("/admin/v1/fleet") as unknown as FleetAnswer;
        const inForce = await client.get("/admin/v1/configuration/in-force") as unknown as InForceAnswer;
        fleetLines(fleet, inForce).forEach(line => this.log(line));
        return { ...fleet, inForce };
    }
}
