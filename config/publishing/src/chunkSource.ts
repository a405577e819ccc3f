import type { ChunkReference } from "./chunkReference.js";

/** Where chunks are fetched from: the key-value service, or a peer. */
export interface ChunkSource {
    /**
     * Texts of the chunks, in the order asked for, shape [references.length].
     * Throws `CHUNK_NOT_FOUND` where one is not held.
     */
    fetch(references: ChunkReference[]): Promise<string[]>;
}
