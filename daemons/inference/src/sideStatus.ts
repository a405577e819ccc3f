import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** What a side says of itself and its upstream. */
export interface SideStatus {
    instanceId: InstanceId;
    service: ServiceName;
    state: "live" | "leaving";
    /** Whether the upstream answers. */
    isHealthy: boolean;
    /** Models and adapters that the upstream can serve; undefined where it is not a model engine. */
    models: ModelName[] | undefined;
    role: "any" | "prefill" | "decode";
    onlineRunning: number;
    onlineQueued: number;
    /** Prompt tokens of online calls that the upstream has still to process, where it is a model engine. */
    onlinePrefillTokens?: number;
    batchRunning: number;
    batchQueued: number;
    revision: number;
}
