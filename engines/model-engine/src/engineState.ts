import type { AdapterName } from "@knapweedwood/core.ids/adapterName";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";

/** Models and adapters of an engine, and its role. */
export interface EngineState {
    models: { model: ModelName; version: ModelVersion; state: "loading" | "ready" | "failed"; }[];
    adapters: { adapter: AdapterName; version: ModelVersion; state: "loading" | "ready" | "failed"; }[];
    role: "any" | "prefill" | "decode";
    /** Increases with each start of the engine. */
    incarnation: number;
}
