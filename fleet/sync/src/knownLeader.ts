import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

/** A process that leads, or led. */
export interface KnownLeader {
    instanceName: InstanceName;
    /** Grows with each new leader. */
    fencingNumber: number;
}
