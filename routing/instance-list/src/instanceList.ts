import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { InstanceRecord } from "./instanceRecord.js";

/** The platform's list of live and leaving instances. It lags. */
export interface InstanceList {
    /** All instances known, shape [instances]. */
    list(): Promise<InstanceRecord[]>;
    /** Enters this instance, or replaces its record. Repeated as a heartbeat. */
    announce(record: InstanceRecord): Promise<void>;
    /** Removes this instance. */
    withdraw(instanceId: InstanceId): Promise<void>;
}
