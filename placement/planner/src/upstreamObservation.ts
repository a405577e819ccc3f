import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";

/** One upstream, as its side reports it. */
export interface UpstreamObservation {
    instanceId: InstanceId;
    zone: ZoneName;
    service: ServiceName;
    state: "live" | "leaving";
    /** Undefined where the engine does not answer. */
    engine: EngineState | undefined;
}
