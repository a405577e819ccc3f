import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import { PART_BYTES } from "./partBytes.js";

/** Returns the operations that store a job: its record and the parts of its bodies. */
export function createJobOperations({ record, bodies }: HeldJob): KeyValueOperation[] {
    const parts = Array.from({ length: record.partCount }, (_, index) => ({
        kind: "put" as const,
        key: jobKeys.part(record.jobId, index),
        value: bodies.subarray(index * PART_BYTES, (index + 1) * PART_BYTES),
    }));
    return [{ kind: "put", key: jobKeys.record(record.jobId), value: encodeRecord(record) }, ...parts];
}
