import { Flags, type Interfaces } from "@oclif/core";
import { writeFile } from "node:fs/promises";
import { KnapweedCommand } from "./knapweedCommand.js";

/** A command that runs an experiment on loopback and writes its figures. */
export abstract class BenchCommand extends KnapweedCommand {
    // oclif's own `--json` flag takes no value; here it names the file.
    static override enableJsonFlag = false;
    static override baseFlags: Interfaces.FlagInput = {
        json: Flags.string({ description: "file that the figures are written to" }),
        seconds: Flags.integer({ description: "length of the measured part" }),
        seed: Flags.integer({ description: "seed of arrivals and faults", default: 1 }),
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
