import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import type { JobItemRecord } from "./jobItemRecord.js";
import type { JobRecord } from "./jobRecord.js";
import type { StoredJobRecord } from "./storedJobRecord.js";

/**
 * Returns the record of a stored job; undefined until all parts of its items have arrived.
 *
 * @param value the stored record
 * @param itemParts returns the part of the items with an index; undefined if it hasn't arrived
 */
export function assembleJobRecord(
    value: Uint8Array,
    itemParts: (index: number) => Uint8Array | undefined,
): JobRecord | undefined {
    const { itemCount: _itemCount, itemPartCount, ...record } = decodeRecord<StoredJobRecord>(value);
    if (itemPartCount === undefined) {
        return record;
    }
    const parts = Array.from({ length: itemPartCount }, (_, index) => itemParts(index));
    const arrived = parts.filter(part => part !== undefined);
    return arrived.length < itemPartCount
        ? undefined
        : { ...record, items: decodeRecord<JobItemRecord[]>(Buffer.concat(arrived)) };
}
