import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** Status of a side and its upstream, as reported by the side. The load is in online calls and batch items. */
export interface SideStatus {
    instanceId: InstanceId;
    service: ServiceName;
    state: "live" | "leaving";
    /** Whether the upstream responds to health checks. */
    isHealthy: boolean;
    /** Models and adapters that the upstream can serve; undefined if it is not a model engine. */
    models: ModelName[] | undefined;
    role: "any" | "prefill" | "decode";
    onlineRunning: number;
    onlineQueued: number;
    /** Prompt tokens of online calls that the upstream has yet to process; undefined if it is not a model engine. */
    onlinePrefillTokens?: number;
    batchRunning: number;
    batchQueued: number;
    /** Configuration revision that is active at the side; 0 if there is none yet. */
    revision: number;
}
