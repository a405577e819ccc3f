import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { Flags } from "@oclif/core";
import type { ActiveRevisionResponse } from "../activeRevisionResponse.js";
import { ApiCommand } from "../apiCommand.js";
import type { FleetResponse } from "../fleetResponse.js";
import { formatFleet } from "../formatFleet.js";

const CLEAR_SCREEN = "\u001b[2J\u001b[H";
const MS_PER_SECOND = 1000;

/** Shows the fleet in a terminal and refreshes it periodically. */
export default class Top extends ApiCommand {
    static override description = "show the fleet and refresh it periodically";
    static override flags = {
        interval: Flags.integer({ description: "seconds between refreshes", default: 1, min: 1 }),
        count: Flags.integer({ description: "number of times to show the fleet; unlimited if omitted", min: 1 }),
    };

    async run(): Promise<unknown> {
        const { flags } = await this.parse(Top);
        const client = this.client(flags);
        const clock = new SystemClock();
        const refreshes = flags.count ?? Number.POSITIVE_INFINITY;
        for (let refresh = 1;; refresh += 1) {
            const fleet = await client.get("/admin/v1/fleet") as unknown as FleetResponse;
            const activeRevision = await client.get(
                "/admin/v1/configuration/in-force",
            ) as unknown as ActiveRevisionResponse;
            const clear = process.stdout.isTTY ? CLEAR_SCREEN : "";
            this.log(
                `${clear}${new Date(clock.nowMs()).toISOString()}\n${formatFleet(fleet, activeRevision).join("\n")}`,
            );
            if (refresh >= refreshes) {
                return { ...fleet, inForce: activeRevision };
            }
            await sleep(clock, flags.interval * MS_PER_SECOND);
        }
    }
}
