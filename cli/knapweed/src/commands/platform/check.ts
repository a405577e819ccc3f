import { decodeSettings } from "@knapweedwood/platform.adapter/decodeSettings";
import { Args } from "@oclif/core";
import { readFileSync } from "node:fs";
import { KnapweedCommand } from "../../knapweedCommand.js";

/** Checks the settings file of a gateway or runner with the decoder that these programs use. */
export default class PlatformCheck extends KnapweedCommand {
    static override description = "check the settings file of a gateway or runner, and show the decoded settings";
    static override args = {
        settings: Args.string({ required: true, description: "path of the settings file" }),
    };

    async run(): Promise<unknown> {
        const { args } = await this.parse(PlatformCheck);
        const settings = decodeSettings(readFileSync(args.settings, "utf8"));
        Object.entries(settings).forEach(([name, value]) => this.log(`${name}: ${JSON.stringify(value)}`));
        return settings;
    }
}
