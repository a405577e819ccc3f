import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";

/** A request to load the weights of one model version. */
export interface WeightLoadRequest {
    model: ModelName;
    version: ModelVersion;
    sizeBytes: number;
}
