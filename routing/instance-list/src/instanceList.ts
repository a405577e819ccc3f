import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { InstanceRecord } from "./instanceRecord.js";

/** The platform's list of live and leaving instances. Reads may be stale. */
export interface InstanceList {
    /** Returns all listed instances, shape [instances]. */
    list(): Promise<InstanceRecord[]>;
    /** Adds this instance, or replaces its record. Called repeatedly as a heartbeat. */
    announce(record: InstanceRecord): Promise<void>;
    /** Removes this instance. */
    withdraw(instanceId: InstanceId): Promise<void>;
}
