import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** The owner of a partition, as stored in the key-value service under the owner's lease. */
export interface PartitionRecord {
    instanceId: InstanceId;
    /** Address where the owner accepts links, as `host:port`. */
    address: string;
    fencingNumber: FencingNumber;
    /** Unique to each write of the record. */
    writeId: string;
}
