import type { KeyValueEntry } from "./keyValueEntry.js";

/** Changes that a watch reports together. */
export interface WatchBatch {
    revision: number;
    puts: KeyValueEntry[];
    deletedKeys: string[];
}
