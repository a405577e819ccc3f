import type { KeyValueEntry } from "./keyValueEntry.js";

/** The entries under a prefix. A watch that starts after `revision` misses no later change. */
export interface KeyValueSnapshot {
    entries: KeyValueEntry[];
    revision: number;
}
