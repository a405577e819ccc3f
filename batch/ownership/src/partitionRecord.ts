import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** The owner of a partition, as the key-value service holds it under the owner's lease. */
export interface PartitionRecord {
    instanceId: InstanceId;
    /** Where the owner accepts links, as `host:port`. */
    address: string;
    fencingNumber: FencingNumber;
    writeId: string;
}
