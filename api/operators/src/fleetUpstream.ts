import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** An upstream and its load, as seen from this process. */
export interface FleetUpstream {
    instanceId: InstanceId;
    service: ServiceName;
    zone: ZoneName;
    state: "live" | "leaving" | "ejected";
    isHealthy: boolean;
    models: string[];
    role: string;
    onlineRunning: number;
    onlineQueued: number;
    batchRunning: number;
    batchQueued: number;
}
