import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A change of the prefix cache of the engine beside a side. */
export interface CacheChange {
    instanceId: InstanceId;
    service: ServiceName;
    /** Of the engine's event; gaps show events that were lost or left out. */
    sequenceNumber: number;
    kind: "stored" | "evicted";
    /** Shape [blocks]. */
    blockHashes: string[];
}
