import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { EngineServer } from "@knapweedwood/standins.engine/engineServer";
import type { EngineSettings } from "./engineSettings.js";
import { readChildSettings } from "./readChildSettings.js";

const HOST = "127.0.0.1";

/** Steps are short and wide enough that the engine never limits a request. */
const STEP_MODEL = {
    fixedMs: 1,
    perSequenceMs: 0,
    perPrefillTokenMs: 0,
    maxSequences: 1024,
    maxPrefillTokensPerStep: 1_000_000,
    kvTokensLimit: 10_000_000,
};

const settings = readChildSettings<EngineSettings>();
const server = new EngineServer({
    clock: new SystemClock(),
    seed: settings.seed,
    models: [{ model: settings.model, version: "1" }],
    checksFencing: true,
    stepModel: STEP_MODEL,
});
await server.listen({ host: HOST, port: settings.port });
