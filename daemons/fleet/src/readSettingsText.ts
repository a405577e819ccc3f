import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { settingsPathVariable } from "@knapweedwood/platform.adapter/settingsPathVariable";
import { readFileSync } from "node:fs";

/** Reads the settings file whose path is in the environment. Throws `SETTINGS_MISSING` without path or file. */
export function readSettingsText(environment: NodeJS.ProcessEnv): string {
    const file = environment[settingsPathVariable];
    if (file === undefined) {
        throw new KnapweedError("SETTINGS_MISSING", `Environment variable ${settingsPathVariable} is not set`);
    }
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        const message = `Settings file ${file} can't be read: ${(error as Error).message}`;
        throw new KnapweedError("SETTINGS_MISSING", message, { cause: error });
    }
}
