import { runOverhead } from "@knapweedwood/bench.overhead/runOverhead";
import { BenchCommand } from "../../benchCommand.js";

/** Measures the added latency and the throughput of an entry. */
export default class BenchOverhead extends BenchCommand {
    static override description = "measure the added latency and the throughput of an entry";

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchOverhead);
        const report = await runOverhead({
            seed: Number(flags["seed"]),
            ...flags["seconds"] === undefined ? {} : { seconds: Number(flags["seconds"]) },
        });
        await this.outputReport(flags, report);
    }
}
