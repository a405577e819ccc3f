import type { KeyValueEntry } from "./keyValueEntry.js";

/** A group of changes that a watch reports together. */
export interface WatchBatch {
    revision: number;
    puts: KeyValueEntry[];
    deletedKeys: string[];
}
