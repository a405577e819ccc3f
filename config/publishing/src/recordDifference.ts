import type { ConfigurationRecord } from "./configurationRecord.js";
import type { RecordKey } from "./recordKey.js";

/** The difference of one record between two revisions. `before` and `after` are undefined if the record is absent. */
export interface RecordDifference {
    recordKey: RecordKey;
    kind: "added" | "changed" | "removed";
    before: ConfigurationRecord | undefined;
    after: ConfigurationRecord | undefined;
}
