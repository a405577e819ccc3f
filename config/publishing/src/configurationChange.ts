import type { ConfigurationRecord } from "./configurationRecord.js";
import type { RecordKey } from "./recordKey.js";

/** A change that an operator asks for. */
export type ConfigurationChange =
    | { kind: "put"; record: ConfigurationRecord; }
    | { kind: "remove"; recordKey: RecordKey; };
