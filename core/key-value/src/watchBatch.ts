import type { KeyValueEntry } from "./keyValueEntry.js";

/** A group of changes that a watch reports together. */
export interface WatchBatch {
    /** Revision after these changes. A later watch can continue after it. */
    revision: number;
    puts: KeyValueEntry[];
    deletedKeys: string[];
}
