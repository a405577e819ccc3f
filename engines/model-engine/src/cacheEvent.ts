/** A change of an engine's prefix cache. Events arrive late, and `sequenceNumber` can have gaps. */
export interface CacheEvent {
    sequenceNumber: number;
    kind: "stored" | "evicted";
    /** Hashes of the affected prompt blocks, shape [blocks]. */
    blockHashes: string[];
}
