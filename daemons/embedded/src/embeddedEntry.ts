import type { EntryProcess } from "@knapweedwood/daemons.entry/entryProcess";

/** A running entry of an embedded deployment. */
export interface EmbeddedEntry {
    process: EntryProcess;
    httpPort: number;
}
