import type { ConfigurationRoot } from "./configurationRoot.js";
import type { ConfigurationTree } from "./configurationTree.js";

/** A revision as read from the key-value service. */
export interface LoadedConfiguration {
    /** Undefined before the first publish. */
    root: ConfigurationRoot | undefined;
    tree: ConfigurationTree;
    /** Last change of the root's key; 0 where it is absent. */
    modRevision: number;
}
