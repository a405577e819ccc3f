import type { ChunkReference } from "./chunkReference.js";
import type { ConfigurationRoot } from "./configurationRoot.js";
import type { RecordDifference } from "./recordDifference.js";
import type { RecordKey } from "./recordKey.js";

/** The audit record of one publish. */
export interface HistoryEntry {
    root: ConfigurationRoot;
    /** Who published: the id of the key, or a name given by the command line. */
    actor: string;
    message: string;
    changes: { recordKey: RecordKey; kind: RecordDifference["kind"]; }[];
    /** Number of records changed; `changes` names the first ones only. */
    changeCount: number;
    /** Chunks that this revision no longer refers to, deleted once it leaves the rollback window. */
    replaced: ChunkReference[];
}
