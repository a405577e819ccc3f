import type { ChunkReference } from "./chunkReference.js";
import type { TreeBucket } from "./treeBucket.js";

/** Buckets that share an index chunk. `buckets` has shape [BUCKETS_PER_GROUP]. */
export interface TreeGroup {
    reference: ChunkReference;
    buckets: readonly TreeBucket[];
}
