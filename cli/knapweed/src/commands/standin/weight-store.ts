import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { WeightStoreServer } from "@knapweedwood/standins.weight-store/weightStoreServer";
import { StandinCommand } from "../../standinCommand.js";

/** Runs the stand-in of the platform's weight store in a separate process. */
export default class StandinWeightStore extends StandinCommand {
    static override description = "stand-in: weight-store";

    async run(): Promise<unknown> {
        const { flags } = await this.parse(StandinWeightStore);
        return this.serve(new WeightStoreServer({ clock: new SystemClock() }), flags);
    }
}
