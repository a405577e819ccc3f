import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { EngineServer } from "@knapweedwood/standins.engine/engineServer";
import { InstanceListServer } from "@knapweedwood/standins.instance-list/instanceListServer";
import { KeyValueServer } from "@knapweedwood/standins.key-value/keyValueServer";
import { ServiceServer } from "@knapweedwood/standins.service/serviceServer";
import type { PlatformSettings } from "./platformSettings.js";
import { readChildSettings } from "./readChildSettings.js";

const HOST = "127.0.0.1";
const INSTANCE_LIST_LAG_MS = 500;
const INSTANCE_LIST_TTL_MS = 6000;
const SERVICE_DELAY_MS = 5;
const STEP_MODEL = {
    fixedMs: 2,
    perSequenceMs: 0,
    perPrefillTokenMs: 0,
    maxSequences: 256,
    maxPrefillTokensPerStep: 1_000_000,
    kvTokensLimit: 10_000_000,
};

const settings = readChildSettings<PlatformSettings>();
const clock = new SystemClock();
const engines = settings.enginePorts.map((port, index) => ({
    port,
    server: new EngineServer({
        clock,
        seed: settings.seed + index,
        models: [{ model: settings.model, version: "1" }],
        checksFencing: true,
        stepModel: STEP_MODEL,
    }),
}));
await Promise.all(engines.map(({ port, server }) => server.listen({ host: HOST, port })));
const services = settings.servicePorts.map(port => ({ port, server: new ServiceServer({ clock }) }));
services.forEach(({ server }) => server.applyFaults({ delayMs: SERVICE_DELAY_MS }));
await Promise.all(services.map(({ port, server }) => server.listen({ host: HOST, port })));
await new KeyValueServer({ clock }).listen({ host: HOST, port: settings.keyValuePort });
await new InstanceListServer({ clock, lagMs: INSTANCE_LIST_LAG_MS, ttlMs: INSTANCE_LIST_TTL_MS })
    .listen({ host: HOST, port: settings.instanceListPort });
