import type { AdapterName } from "@knapweedwood/core.ids/adapterName";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";

/** A command to an engine to change its models, adapters or role. */
export interface EngineOrder {
    fencingNumber: FencingNumber;
    action:
        | { kind: "load-model"; model: ModelName; version: ModelVersion; }
        | { kind: "unload-model"; model: ModelName; version: ModelVersion; }
        | { kind: "load-adapter"; adapter: AdapterName; version: ModelVersion; }
        | { kind: "unload-adapter"; adapter: AdapterName; }
        | { kind: "set-role"; role: "any" | "prefill" | "decode"; };
}
