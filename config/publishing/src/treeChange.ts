import type { ChunkReference } from "./chunkReference.js";
import type { ConfigurationTree } from "./configurationTree.js";

/** Result of applying changes to a tree: the new tree, the chunks to write, and the chunks that they replace. */
export interface TreeChange {
    tree: ConfigurationTree;
    written: { reference: ChunkReference; text: string; }[];
    replaced: ChunkReference[];
}
