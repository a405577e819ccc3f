import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { decodeRecord } from "./decodeRecord.js";
import type { StoredRecord } from "./storedRecord.js";

/** Returns the record at `key`, or undefined if the key is absent. */
export async function readRecord<Value>(
    keyValue: KeyValueService,
    key: string,
): Promise<StoredRecord<Value> | undefined> {
    const entry = await keyValue.get(key);
    return entry && { key, value: decodeRecord<Value>(entry.value), modRevision: entry.modRevision };
}
