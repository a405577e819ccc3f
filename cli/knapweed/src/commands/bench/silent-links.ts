import { runSilentLinks } from "@knapweedwood/bench.silent-links/runSilentLinks";
import { BenchCommand } from "../../benchCommand.js";

const DEFAULT_SECONDS = 30;

/** Measures the time and failures that silent links add to calls. */
export default class BenchSilentLinks extends BenchCommand {
    static override description = "measure the time and failures that silent links add to calls";

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchSilentLinks);
        const report = await runSilentLinks({
            seconds: Number(flags["seconds"] ?? DEFAULT_SECONDS),
            seed: Number(flags["seed"]),
        });
        await this.outputReport(flags, report);
    }
}
