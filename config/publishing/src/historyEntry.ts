import type { ChunkReference } from "./chunkReference.js";
import type { ConfigurationRoot } from "./configurationRoot.js";
import type { RecordDifference } from "./recordDifference.js";
import type { RecordKey } from "./recordKey.js";

/** The audit record of one publish. */
export interface HistoryEntry {
    root: ConfigurationRoot;
    /** Who published: the id of the API key, or a name given on the command line. */
    actor: string;
    message: string;
    changes: { recordKey: RecordKey; kind: RecordDifference["kind"]; }[];
    /** Number of changed records. `changes` lists only the first ones. */
    changeCount: number;
    /** Chunks that this revision replaced. They are deleted when it leaves the rollback window. */
    replaced: ChunkReference[];
}
