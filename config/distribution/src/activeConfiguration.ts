import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { ChunkSource } from "@knapweedwood/config.publishing/chunkSource";
import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import { ConfigurationTree } from "@knapweedwood/config.publishing/configurationTree";
import { loadTree } from "@knapweedwood/config.publishing/loadTree";
import { TreeConfigurationView } from "@knapweedwood/config.publishing/treeConfigurationView";
import type { Revision } from "@knapweedwood/core.ids/revision";

/** Called on each adoption with the new root and the tree that was active before. */
export type AdoptionListener = (adopted: { root: ConfigurationRoot; before: ConfigurationTree; }) => void;

/** The active configuration of this process. Its revision never decreases. */
export class ActiveConfiguration implements ConfigurationSource {
    private view: ConfigurationView | undefined;
    private activeRoot: ConfigurationRoot | undefined;
    private activeTree = ConfigurationTree.empty;
    private readonly listeners = new Set<(view: ConfigurationView) => void>();
    private readonly onAdopted: AdoptionListener;

    constructor(opts: { onAdopted: AdoptionListener; }) {
        this.onAdopted = opts.onAdopted;
    }

    get root(): ConfigurationRoot | undefined {
        return this.activeRoot;
    }

    get tree(): ConfigurationTree {
        return this.activeTree;
    }

    /** The active revision; 0 before the first adoption. */
    get revision(): Revision {
        return this.activeRoot?.revision ?? (0 as Revision);
    }

    current(): ConfigurationView | undefined {
        return this.view;
    }

    subscribe(listener: (view: ConfigurationView) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /**
     * Loads the revision of `root` and makes it active if it is newer than the active one. Chunks are verified against
     * their digests before. Rejects with `CHUNK_CORRUPT` if one does not match, or with the error of `source`.
     *
     * @returns whether the revision became active
     */
    async adopt(root: ConfigurationRoot, source: ChunkSource): Promise<boolean> {
        if (root.revision <= this.revision) {
            return false;
        }
        const tree = await loadTree({ root, source, cached: this.activeTree });
        if (root.revision <= this.revision) {
            return false;
        }
        const before = this.activeTree;
        const view = new TreeConfigurationView(root, tree);
        this.activeRoot = root;
        this.activeTree = tree;
        this.view = view;
        this.onAdopted({ root, before });
        this.listeners.forEach(listener => listener(view));
        return true;
    }
}
