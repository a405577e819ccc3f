import type { ConfigurationRecord } from "./configurationRecord.js";
import type { RecordKey } from "./recordKey.js";

/** How one record differs between two revisions. Undefined stands for absent. */
export interface RecordDifference {
    recordKey: RecordKey;
    kind: "added" | "changed" | "removed";
    before: ConfigurationRecord | undefined;
    after: ConfigurationRecord | undefined;
}
