import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { JsonLogger } from "@knapweedwood/observability.logs/jsonLogger";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { openBoundedOutput } from "@knapweedwood/observability.logs/openBoundedOutput";
import { ActiveSettings } from "./activeSettings.js";
import { readSettingsText } from "./readSettingsText.js";

const EXIT_SETTINGS = 2;
const EXIT_FAILED = 1;
/** Time between checks for a changed settings file, in milliseconds. It may change without a SIGHUP. */
const SETTINGS_CHECK_INTERVAL_MS = 2000;

/** A running program. */
interface Program {
    stop(): Promise<void>;
}

/**
 * Runs a program until SIGTERM, and reloads its settings when the file changes. Exits the process with 0 after a clean
 * stop, 2 if the settings are missing or invalid, and 1 after any other failure.
 */
export async function runProgram(
    name: string,
    start: (settings: ActiveSettings, logger: Logger) => Promise<Program>,
): Promise<void> {
    const output = openBoundedOutput("info");
    const rootLogger = new JsonLogger({ clock: new SystemClock(), level: "info", target: output.target });
    const exit = async (code: number) => {
        if (!await output.flush()) {
            // A normal exit would block on buffered output while the reader does not consume it.
            process.kill(process.pid, "SIGKILL");
        }
        process.exit(code);
    };
    let logger: Logger = rootLogger;
    try {
        const settings = new ActiveSettings(() => readSettingsText(process.env));
        const { instanceName, zone } = settings.current;
        logger = rootLogger.child({ program: name, instance: instanceName });
        const program = await start(settings, logger);
        logger.info("started", { zone, pid: process.pid });
        const stop = async (): Promise<number> => {
            logger.info("stopping");
            try {
                await program.stop();
                logger.info("stopped");
                return 0;
            }
            catch (thrown) {
                logger.error("stop-failed", { message: toKnapweedError(thrown).message });
                return EXIT_FAILED;
            }
        };
        let stopping: Promise<void> | undefined;
        // Without a listener, a further SIGTERM would end the process at once.
        process.on("SIGTERM", () => {
            stopping ??= stop().then(exit);
        });
        process.on("SIGHUP", () => {
            logger.info("reload-requested");
            settings.reload(logger);
        });
        setInterval(() => settings.reload(logger), SETTINGS_CHECK_INTERVAL_MS).unref();
    }
    catch (thrown) {
        const error = toKnapweedError(thrown);
        logger.error("start-failed", { code: error.code, message: error.message });
        await exit(error.code.startsWith("ERR_KNAPWEED_SETTINGS") ? EXIT_SETTINGS : EXIT_FAILED);
    }
}
