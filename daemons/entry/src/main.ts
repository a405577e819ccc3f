import { EtcdKeyValueService } from "@knapweedwood/adapters.key-value-etcd/etcdKeyValueService";
import { entrySettingsSchema } from "@knapweedwood/config.settings/entrySettingsSchema";
import { readSettings } from "@knapweedwood/config.settings/readSettings";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { createTelemetry } from "@knapweedwood/daemons.common/createTelemetry";
import { runDaemon } from "@knapweedwood/daemons.common/runDaemon";
import { settingsFileOf } from "@knapweedwood/daemons.common/settingsFileOf";
import { HttpInstanceList } from "@knapweedwood/routing.instance-list/httpInstanceList";
import { randomInt } from "node:crypto";
import { EntryProcess } from "./entryProcess.js";

const SEED_LIMIT = 2 ** 31;

const settings = await readSettings(settingsFileOf(process.argv.slice(2)), entrySettingsSchema);
const clock = new SystemClock();
const telemetry = await createTelemetry(settings, clock);
const entry = new EntryProcess({
    settings,
    clock,
    random: new SeededRandom(randomInt(SEED_LIMIT)),
    keyValue: new EtcdKeyValueService({ baseUrl: settings.platform.keyValueUrl, clock }),
    instanceList: new HttpInstanceList({ baseUrl: settings.platform.instanceListUrl, clock }),
    ...telemetry,
});
await runDaemon({
    start: () => entry.start(),
    stop: async () => {
        await entry.stop();
        await telemetry.tracer.close();
    },
    logger: telemetry.logger,
});
