import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { settingsPathVariable } from "@knapweedwood/platform.adapter/settingsPathVariable";
import { readFileSync } from "node:fs";

/** Reads the settings file that the environment names. Throws `SETTINGS_MISSING`. */
export function readSettingsText(environment: NodeJS.ProcessEnv): string {
    const file = environment[settingsPathVariable];
    if (file === undefined) {
        throw new KnapweedError("SETTINGS_MISSING", `${settingsPathVariable} is not set`);
    }
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        const message = `${file} can't be read: ${(error as Error).message}`;
        throw new KnapweedError("SETTINGS_MISSING", message, { cause: error });
    }
}
