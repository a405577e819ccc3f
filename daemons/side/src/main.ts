import { readSettings } from "@knapweedwood/config.settings/readSettings";
import { sideSettingsSchema } from "@knapweedwood/config.settings/sideSettingsSchema";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { createTelemetry } from "@knapweedwood/daemons.common/createTelemetry";
import { runDaemon } from "@knapweedwood/daemons.common/runDaemon";
import { settingsFileOf } from "@knapweedwood/daemons.common/settingsFileOf";
import { HttpInstanceList } from "@knapweedwood/routing.instance-list/httpInstanceList";
import { randomInt } from "node:crypto";
import { SideProcess } from "./sideProcess.js";

const SEED_LIMIT = 2 ** 31;

const settings = await readSettings(settingsFileOf(process.argv.slice(2)), sideSettingsSchema);
const clock = new SystemClock();
const telemetry = await createTelemetry(settings, clock);
const side = new SideProcess({
    settings,
    clock,
    random: new SeededRandom(randomInt(SEED_LIMIT)),
    instanceList: new HttpInstanceList({ baseUrl: settings.platform.instanceListUrl, clock }),
    ...telemetry,
});
await runDaemon({
    start: () => side.start(),
    stop: async () => {
        await side.stop();
        await telemetry.tracer.close();
    },
    logger: telemetry.logger,
});
