import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import { jobKeys } from "./jobKeys.js";

/** Returns whether the tombstone of a job is among `entries`. */
export function hasTombstone(entries: readonly KeyValueEntry[], jobId: JobId): boolean {
    return entries.some(({ key }) => key === jobKeys.tombstone(jobId));
}
