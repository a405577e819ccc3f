import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { parseArgs } from "node:util";

/**
 * Returns the path of the settings file from the command-line arguments, `--settings FILE`.
 * Throws `SETTINGS_MISSING` if the option is absent.
 */
export function settingsFileOf(args: string[]): string {
    const { values } = parseArgs({ args: args, options: { settings: { type: "string" } } });
    if (values.settings === undefined) {
        throw new KnapweedError("SETTINGS_MISSING", "The --settings option is missing", {
            hint: "Use --settings FILE",
        });
    }
    return values.settings;
}
