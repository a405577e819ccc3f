import { readChildSettings } from "@knapweedwood/bench.overhead/readChildSettings";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { EngineServer } from "@knapweedwood/standins.engine/engineServer";
import type { MixedEngineSettings } from "./mixedEngineSettings.js";

const HOST = "127.0.0.1";

const settings = readChildSettings<MixedEngineSettings>();
const server = new EngineServer({
    clock: new SystemClock(),
    seed: settings.seed,
    models: settings.models.map(model => ({ model, version: "1" })),
    checksFencing: false,
    ignoresOrders: true,
    stepModel: settings.stepModel,
});
await server.listen({ host: HOST, port: settings.port });
