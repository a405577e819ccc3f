import type { AdapterName } from "@knapweedwood/core.ids/adapterName";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";

/** A model that a service offers, with its adapters. */
export interface ModelDefinition {
    name: ModelName;
    version: ModelVersion;
    adapters: { name: AdapterName; version: ModelVersion; }[];
}
