import type { KeyValueService } from "./keyValueService.js";
import type { KeyValueSnapshot } from "./keyValueSnapshot.js";

/** A key-value service that can list keys together with their revision. */
export interface SnapshotKeyValueService extends KeyValueService {
    /** Returns all entries under `prefix`, read in pages, and a revision that is not newer than the first page. */
    snapshot(prefix: string): Promise<KeyValueSnapshot>;
}
