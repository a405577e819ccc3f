import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";
import { decodeSettings } from "@knapweedwood/platform.adapter/decodeSettings";
import { settingsPathVariable } from "@knapweedwood/platform.adapter/settingsPathVariable";
import { readFileSync } from "node:fs";

/** Reads the settings file that the environment names. Throws `SETTINGS_MISSING` or `SETTINGS_INVALID`. */
export function readSettings(environment: NodeJS.ProcessEnv): ProcessSettings {
    const file = environment[settingsPathVariable];
    if (file === undefined) {
        throw new KnapweedError("SETTINGS_MISSING", `${settingsPathVariable} is not set`);
    }
    try {
        return decodeSettings(readFileSync(file, "utf8"));
    }
    catch (error) {
        if (error instanceof KnapweedError) {
            throw error;
        }
        throw new KnapweedError("SETTINGS_MISSING", `${file} can't be read: ${(error as Error).message}`, {
            cause: error,
        });
    }
}
