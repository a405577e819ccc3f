import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { ChunkSource } from "@knapweedwood/config.publishing/chunkSource";
import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import { ConfigurationTree } from "@knapweedwood/config.publishing/configurationTree";
import { loadTree } from "@knapweedwood/config.publishing/loadTree";
import { TreeConfigurationView } from "@knapweedwood/config.publishing/treeConfigurationView";
import type { Revision } from "@knapweedwood/core.ids/revision";

/** Told of each adoption, with the tree before it. */
export type AdoptionListener = (adopted: { root: ConfigurationRoot; before: ConfigurationTree; }) => void;

/** The revision in force in this process. It only rises. */
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

    /** 0 before the first. */
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
     * Puts `root` in force where it is newer than what is. Chunks are checked against their digests before.
     *
     * @returns whether it was put in force
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
