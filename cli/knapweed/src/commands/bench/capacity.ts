import { runCapacity } from "@knapweedwood/bench.capacity/runCapacity";
import { Flags } from "@oclif/core";
import { BenchCommand } from "../../benchCommand.js";

/** Measures the slopes behind docs/CAPACITY.md. */
export default class BenchCapacity extends BenchCommand {
    static override description = "measure how the cost of each mechanism grows, and fill the capacity page";
    static override flags = {
        page: Flags.file({ description: "page whose tables are filled, such as docs/CAPACITY.md" }),
        quick: Flags.boolean({ description: "small sizes only, for a first look" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchCapacity);
        const report = await runCapacity({
            pageFile: flags.page,
            isQuick: flags.quick,
            onProgress: message => this.logToStderr(message),
        });
        await this.finish(flags, report);
    }
}
