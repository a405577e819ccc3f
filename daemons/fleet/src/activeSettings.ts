import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { decodeSettings } from "@knapweedwood/platform.adapter/decodeSettings";

/** Fields whose changes take effect without a restart. */
const LIVE_FIELDS: readonly string[] = [
    "tolerableLosses",
    "stopGraceMs",
    "resultRetentionMs",
] satisfies (keyof ProcessSettings)[];

/** The settings of this process. They can be reloaded while it runs. */
export class ActiveSettings {
    private readonly readText: () => string;
    private text: string;
    private settings: ProcessSettings;

    /**
     * Loads the settings with `readText`. Throws `SETTINGS_INVALID`, or the error of `readText`, such as
     * `SETTINGS_MISSING`.
     */
    constructor(readText: () => string) {
        this.readText = readText;
        this.text = readText();
        this.settings = decodeSettings(this.text);
    }

    get current(): ProcessSettings {
        return this.settings;
    }

    /** Reloads the settings file if it has changed. Keeps the current settings if the file is missing or invalid. */
    reload(logger: Logger): void {
        try {
            const text = this.readText();
            if (text === this.text) {
                return;
            }
            this.text = text;
            this.apply(decodeSettings(text), logger);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown);
            logger.warn("settings-kept", { code: error.code, message: error.message });
        }
    }

    private apply(settings: ProcessSettings, logger: Logger): void {
        const fields = Object.keys(settings) as (keyof ProcessSettings)[];
        const changed = fields.filter(name => JSON.stringify(settings[name]) !== JSON.stringify(this.settings[name]));
        this.settings = settings;
        logger.info("settings-reloaded", {
            inForce: changed.filter(name => LIVE_FIELDS.includes(name)),
            afterRestart: changed.filter(name => !LIVE_FIELDS.includes(name)),
        });
    }
}
