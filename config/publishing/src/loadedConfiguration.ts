import type { ConfigurationRoot } from "./configurationRoot.js";
import type { ConfigurationTree } from "./configurationTree.js";

/** A revision that was read from the key-value service. */
export interface LoadedConfiguration {
    /** Undefined before the first publish. */
    root: ConfigurationRoot | undefined;
    tree: ConfigurationTree;
    /** Key-value revision of the last change to the root's key. 0 if the key is absent. */
    modRevision: number;
}
