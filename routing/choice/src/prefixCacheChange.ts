import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

/** A change in the prefix cache of one upstream's engine. */
export interface PrefixCacheChange {
    instanceId: InstanceId;
    /** Increases by one with each event; gaps mean lost events. */
    sequenceNumber: number;
    kind: "stored" | "evicted";
    /** Shape [blocks]. */
    blockHashes: readonly string[];
}
