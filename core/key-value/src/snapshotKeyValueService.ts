import type { KeyValueService } from "./keyValueService.js";
import type { KeyValueSnapshot } from "./keyValueSnapshot.js";

/** A key-value service that tells at which revision it listed keys. */
export interface SnapshotKeyValueService extends KeyValueService {
    /** All entries under `prefix`, read in pages, and a revision that is no newer than the first page. */
    snapshot(prefix: string): Promise<KeyValueSnapshot>;
}
