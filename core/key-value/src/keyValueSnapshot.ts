import type { KeyValueEntry } from "./keyValueEntry.js";

/** The entries under a prefix with the revision from which a watch misses nothing. */
export interface KeyValueSnapshot {
    entries: KeyValueEntry[];
    revision: number;
}
