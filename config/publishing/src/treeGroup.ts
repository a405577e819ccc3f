import type { ChunkReference } from "./chunkReference.js";
import type { TreeBucket } from "./treeBucket.js";

/** Buckets whose references are stored together in one group chunk. */
export interface TreeGroup {
    /** Reference of the group chunk. */
    reference: ChunkReference;
    /** Shape [BUCKETS_PER_GROUP]. */
    buckets: readonly TreeBucket[];
}
