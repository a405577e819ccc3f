import type { ChunkReference } from "./chunkReference.js";
import type { ConfigurationTree } from "./configurationTree.js";

/** What a change does to a tree. */
export interface TreeChange {
    tree: ConfigurationTree;
    written: { reference: ChunkReference; text: string; }[];
    replaced: ChunkReference[];
}
