import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KeyValueServer } from "@knapweedwood/standins.key-value/keyValueServer";
import { StandinCommand } from "../../standinCommand.js";

/** Runs the stand-in of the platform's key-value service in a separate process. */
export default class StandinKeyValue extends StandinCommand {
    static override description = "stand-in: key-value";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(StandinKeyValue);
        return this.serve(new KeyValueServer({ clock: new SystemClock() }), flags);
    }
}
