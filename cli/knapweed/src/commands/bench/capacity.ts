import { runCapacity } from "@knapweedwood/bench.capacity/runCapacity";
import { Flags } from "@oclif/core";
import { BenchCommand } from "../../benchCommand.js";

/** Measures the slopes for docs/CAPACITY.md, and optionally fills in the tables of that page. */
export default class BenchCapacity extends BenchCommand {
    static override description = "measure the slopes for docs/CAPACITY.md";
    static override flags = {
        page: Flags.string({ description: "page whose tables to fill in, such as docs/CAPACITY.md" }),
        quick: Flags.boolean({ description: "measure fewer and smaller sizes" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchCapacity);
        await runCapacity({
            jsonFile: String(flags["json"] ?? "capacity.json"),
            pageFile: flags.page,
            isQuick: flags.quick,
            onProgress: message => this.logToStderr(message),
        });
    }
}
