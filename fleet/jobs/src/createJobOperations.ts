import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import type { JobRecord } from "./jobRecord.js";
import { PART_BYTES } from "./partBytes.js";
import type { StoredJobRecord } from "./storedJobRecord.js";

/** Returns the operations that store a job: its record, the parts of its bodies and, if they are large, of its items. */
export function createJobOperations({ record, bodies }: HeldJob): KeyValueOperation[] {
    const bodyParts = partsOf(bodies, index => jobKeys.part(record.jobId, index));
    return [...recordOperations(record), ...bodyParts];
}

function recordOperations(record: JobRecord): KeyValueOperation[] {
    const key = jobKeys.record(record.jobId);
    const value = encodeRecord(record);
    if (value.length <= PART_BYTES) {
        return [{ kind: "put", key, value }];
    }
    const itemParts = partsOf(encodeRecord(record.items), index => jobKeys.items(record.jobId, index));
    const stored: StoredJobRecord = {
        ...record,
        items: [],
        itemCount: record.items.length,
        itemPartCount: itemParts.length,
    };
    return [{ kind: "put", key, value: encodeRecord(stored) }, ...itemParts];
}

function partsOf(bytes: Uint8Array, keyOf: (index: number) => string): KeyValueOperation[] {
    return Array.from({ length: Math.ceil(bytes.length / PART_BYTES) }, (_, index) => ({
        kind: "put",
        key: keyOf(index),
        value: bytes.subarray(index * PART_BYTES, (index + 1) * PART_BYTES),
    }));
}
