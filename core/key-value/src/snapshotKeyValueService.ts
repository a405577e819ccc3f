import type { KeyValueService } from "./keyValueService.js";
import type { KeyValueSnapshot } from "./keyValueSnapshot.js";
import type { WatchBatch } from "./watchBatch.js";

/** A key-value service that can list keys together with their revision. */
export interface SnapshotKeyValueService extends KeyValueService {
    /** Returns all entries under `prefix`, read in pages, and a revision that is not newer than the first page. */
    snapshot(prefix: string): Promise<KeyValueSnapshot>;
    /**
     * Returns the changes under `prefix` after `afterRevision`, possibly none, without waiting for any. Rejects with
     * `KEY_VALUE_COMPACTED` when these changes are no longer stored.
     */
    changes(prefix: string, opts: { afterRevision: number; signal?: AbortSignal; }): Promise<WatchBatch>;
}
