import type { ChunkReference } from "./chunkReference.js";

/** A source of chunks: the key-value service or a peer. */
export interface ChunkSource {
    /**
     * Returns the texts of the chunks, in the order of `references`, shape [references.length].
     * Rejects with `CHUNK_NOT_FOUND` if the source lacks one of them.
     */
    fetch(references: ChunkReference[]): Promise<string[]>;
}
