import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { InstanceListServer } from "@knapweedwood/standins.instance-list/instanceListServer";
import { StandinCommand } from "../../standinCommand.js";

/** Runs the stand-in of the platform's instance list in a separate process. */
export default class StandinInstanceList extends StandinCommand {
    static override description = "stand-in: instance-list";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(StandinInstanceList);
        return this.serve(new InstanceListServer({ clock: new SystemClock() }), flags);
    }
}
