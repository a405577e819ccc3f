import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A change in the prefix cache of a side's engine. */
export interface CacheChange {
    instanceId: InstanceId;
    service: ServiceName;
    /** Sequence number of the engine's event. A gap means that events were lost or dropped. */
    sequenceNumber: number;
    kind: "stored" | "evicted";
    /** Hashes of the stored or evicted prompt blocks, shape [blocks]. */
    blockHashes: string[];
}
