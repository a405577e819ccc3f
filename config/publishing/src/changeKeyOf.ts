import type { ConfigurationChange } from "./configurationChange.js";
import type { RecordKey } from "./recordKey.js";
import { recordKeyOf } from "./recordKeyOf.js";

/** The record that `change` touches. */
export function changeKeyOf(change: ConfigurationChange): RecordKey {
    return change.kind === "put" ? recordKeyOf(change.record) : change.recordKey;
}
