import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { EngineServer } from "@knapweedwood/standins.engine/engineServer";
import { Flags } from "@oclif/core";
import { StandinCommand } from "../../standinCommand.js";

/** Runs the stand-in of a model engine in a separate process. */
export default class StandinEngine extends StandinCommand {
    static override description = "stand-in: model engine";
    static override flags = {
        model: Flags.string({ description: "model loaded at startup, as NAME or NAME:VERSION", multiple: true }),
        seed: Flags.integer({ description: "random seed", default: 1 }),
        "checks-fencing": Flags.boolean({ description: "reject orders with an outdated fencing number" }),
    };

    async run(): Promise<unknown> {
        const { flags } = await this.parse(StandinEngine);
        const models = (flags.model ?? ["demo-chat"]).map(name => {
            const [model = "", version = "1"] = name.split(":");
            return { model, version };
        });
        const server = new EngineServer({
            clock: new SystemClock(),
            seed: flags.seed,
            models,
            checksFencing: flags["checks-fencing"],
        });
        return this.serve(server, flags);
    }
}
