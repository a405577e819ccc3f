import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";

/** Weights that an instance wants to load. */
export interface WeightLoadRequest {
    model: ModelName;
    version: ModelVersion;
    sizeBytes: number;
}
