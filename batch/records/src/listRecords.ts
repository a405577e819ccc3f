import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { decodeRecord } from "./decodeRecord.js";
import type { StoredRecord } from "./storedRecord.js";

const PAGE_SIZE_ENTRIES = 500;

/** Returns all records under `prefix`, read page by page, shape [records]. */
export async function listRecords<Value>(keyValue: KeyValueService, prefix: string): Promise<StoredRecord<Value>[]> {
    const entries: KeyValueEntry[] = [];
    let page: KeyValueEntry[];
    do {
        page = await keyValue.list(prefix, { limit: PAGE_SIZE_ENTRIES, afterKey: entries.at(-1)?.key });
        entries.push(...page);
    }
    while (page.length === PAGE_SIZE_ENTRIES);
    return entries.map(entry => ({
        key: entry.key,
        value: decodeRecord<Value>(entry.value),
        modRevision: entry.modRevision,
    }));
}
