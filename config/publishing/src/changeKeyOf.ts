import type { ConfigurationChange } from "./configurationChange.js";
import type { RecordKey } from "./recordKey.js";
import { recordKeyOf } from "./recordKeyOf.js";

/** Returns the key of the record that `change` writes or removes. */
export function changeKeyOf(change: ConfigurationChange): RecordKey {
    return change.kind === "put" ? recordKeyOf(change.record) : change.recordKey;
}
