import type { ConfigurationRecord } from "./configurationRecord.js";
import type { RecordKey } from "./recordKey.js";

/** A change to one record, requested by an operator. */
export type ConfigurationChange =
    | { kind: "put"; record: ConfigurationRecord; }
    | { kind: "remove"; recordKey: RecordKey; };
