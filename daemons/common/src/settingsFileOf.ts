import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { parseArgs } from "node:util";

/** The settings file that the command line names: `--settings FILE`. Throws `SETTINGS_MISSING`. */
export function settingsFileOf(args: string[]): string {
    const { values } = parseArgs({ args: args, options: { settings: { type: "string" } } });
    if (values.settings === undefined) {
        throw new KnapweedError("SETTINGS_MISSING", "No settings file is named", { hint: "Use --settings FILE" });
    }
    return values.settings;
}
