import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";

/** The observed state of one upstream, as reported by its side. */
export interface ObservedUpstream {
    instanceId: InstanceId;
    zone: ZoneName;
    service: ServiceName;
    state: "live" | "leaving";
    /** Undefined if the engine or its side does not respond. */
    engine: EngineState | undefined;
}
