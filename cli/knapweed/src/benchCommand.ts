import { Flags, type Interfaces } from "@oclif/core";
import { writeFile } from "node:fs/promises";
import { KnapweedCommand } from "./knapweedCommand.js";

/** Base class of commands that run a benchmark on loopback and output its report. */
export abstract class BenchCommand extends KnapweedCommand {
    // The built-in `--json` flag of oclif takes no value. Here the flag takes the path of the output file.
    static override enableJsonFlag = false;
    static override baseFlags: Interfaces.FlagInput = {
        json: Flags.string({ description: "file to write the report to" }),
        seconds: Flags.integer({ description: "duration of the measurement in seconds" }),
        seed: Flags.integer({ description: "random seed of arrivals and faults", default: 1 }),
    };

    protected async outputReport(flags: { [name: string]: unknown; }, report: object): Promise<void> {
        const text = `${JSON.stringify(report, undefined, 4)}\n`;
        const file = flags["json"];
        if (typeof file === "string") {
            await writeFile(file, text);
        }
        this.log(text);
    }
}
