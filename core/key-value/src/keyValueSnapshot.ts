import type { KeyValueEntry } from "./keyValueEntry.js";

/** The entries under a prefix, and the revision from which a watch misses no change. */
export interface KeyValueSnapshot {
    entries: KeyValueEntry[];
    revision: number;
}
