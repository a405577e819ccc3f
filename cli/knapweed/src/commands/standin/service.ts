import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { ServiceServer } from "@knapweedwood/standins.service/serviceServer";
import { StandinCommand } from "../../standinCommand.js";

/** Runs the stand-in of a plain service in a separate process. */
export default class StandinService extends StandinCommand {
    static override description = "stand-in: service";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(StandinService);
        return this.serve(new ServiceServer({ clock: new SystemClock() }), flags);
    }
}
