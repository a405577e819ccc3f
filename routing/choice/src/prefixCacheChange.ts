import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** A change of the prefix cache of one upstream's engine. */
export interface PrefixCacheChange {
    instanceId: InstanceId;
    /** Grows by one with each event; gaps show lost events. */
    sequenceNumber: number;
    kind: "stored" | "evicted";
    /** Shape [blocks]. */
    blockHashes: readonly string[];
}
