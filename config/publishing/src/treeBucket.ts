import type { ChunkReference } from "./chunkReference.js";
import type { ConfigurationRecord } from "./configurationRecord.js";

/** Records whose keys hash to the same bucket, in key order. */
export interface TreeBucket {
    reference: ChunkReference;
    records: readonly ConfigurationRecord[];
}
