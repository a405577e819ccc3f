import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import { PART_BYTES } from "./partBytes.js";
import type { StoredJobRecord } from "./storedJobRecord.js";

/**
 * Returns the operations that store a job: its record, the parts of its bodies and, if they are large, of its items.
 *
 * @param maxValueSizeBytes largest value that the key-value service takes
 */
export function createJobOperations({ record, bodies }: HeldJob, maxValueSizeBytes: number): KeyValueOperation[] {
    const { jobId } = record;
    const partBytes = Math.min(PART_BYTES, maxValueSizeBytes);
    const bodyParts = partsOf(bodies, { partBytes, keyOf: index => jobKeys.part(jobId, index) });
    return [...recordOperations({ ...record, partCount: bodyParts.length }, partBytes), ...bodyParts];
}

function recordOperations(record: StoredJobRecord, partBytes: number): KeyValueOperation[] {
    const { jobId, items } = record;
    const key = jobKeys.record(jobId);
    const value = encodeRecord(record);
    if (value.length <= partBytes) {
        return [{ kind: "put", key, value }];
    }
    const itemParts = partsOf(encodeRecord(items), { partBytes, keyOf: index => jobKeys.items(jobId, index) });
    const stored: StoredJobRecord = { ...record, items: [], itemCount: items.length, itemPartCount: itemParts.length };
    return [{ kind: "put", key, value: encodeRecord(stored) }, ...itemParts];
}

function partsOf(
    bytes: Uint8Array,
    { partBytes, keyOf }: { partBytes: number; keyOf: (index: number) => string; },
): KeyValueOperation[] {
    return Array.from({ length: Math.ceil(bytes.length / partBytes) }, (_, index) => ({
        kind: "put",
        key: keyOf(index),
        value: bytes.subarray(index * partBytes, (index + 1) * partBytes),
    }));
}
