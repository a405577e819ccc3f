/** A change of an engine's prefix cache. Published late and with gaps in `sequenceNumber`. */
export interface CacheEvent {
    sequenceNumber: number;
    kind: "stored" | "evicted";
    /** Hashes of the prompt blocks concerned, shape [blocks]. */
    blockHashes: string[];
}
