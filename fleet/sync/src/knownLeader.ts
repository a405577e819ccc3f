import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

/** A current or former leader. */
export interface KnownLeader {
    instanceName: InstanceName;
    /** Increases with each new leader. */
    fencingNumber: number;
}
