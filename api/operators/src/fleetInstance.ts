import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** One instance with its link, as seen from this process. */
export interface FleetInstance extends InstanceRecord {
    /** Undefined where this process has no link to it. */
    linkState: "connecting" | "open" | "suspect" | "closed" | undefined;
}
