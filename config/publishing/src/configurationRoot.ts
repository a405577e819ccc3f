import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ChunkReference } from "./chunkReference.js";

/** The single value that a publish swaps. It refers to the group chunks, and they to the bucket chunks, by digest. */
export interface ConfigurationRoot {
    revision: Revision;
    /** Digest of `groups`. */
    digest: string;
    /** Id of the publish that wrote this root. After a lost response it shows whether the publish took effect. */
    changeId: string;
    publishedAtMs: number;
    /** References of the group chunks, shape [GROUP_COUNT]. */
    groups: ChunkReference[];
}
