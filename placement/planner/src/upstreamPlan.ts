import type { AdapterName } from "@knapweedwood/core.ids/adapterName";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import type { UpstreamRole } from "./upstreamRole.js";

/** The models, adapters and role that one upstream should have. */
export interface UpstreamPlan {
    instanceId: InstanceId;
    models: { model: ModelName; version: ModelVersion; }[];
    adapters: { adapter: AdapterName; version: ModelVersion; }[];
    role: UpstreamRole;
    /** When the role last changed, in milliseconds. */
    roleSinceMs: number;
}
