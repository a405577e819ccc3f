import type { Revision } from "@knapweedwood/core.ids/revision";
import type { ChunkReference } from "./chunkReference.js";

/** The one value that a publish swaps. Everything else hangs below it by digest. */
export interface ConfigurationRoot {
    revision: Revision;
    /** Digest over `groups`. */
    digest: string;
    /** Names the publish that made this root, so that a lost answer can be settled by reading. */
    changeId: string;
    publishedAtMs: number;
    /** References of the group chunks, shape [GROUP_COUNT]. */
    groups: ChunkReference[];
}
