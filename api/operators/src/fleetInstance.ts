import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** An instance and the state of this process's link to it. */
export interface FleetInstance extends InstanceRecord {
    /** Undefined if this process has no link to it. */
    linkState: "connecting" | "open" | "suspect" | "closed" | undefined;
}
