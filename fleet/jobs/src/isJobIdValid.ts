import type { JobId } from "@knapweedwood/core.ids/jobId";
import { MAX_KEY_SIZE_BYTES } from "@knapweedwood/core.key-value/maxKeySizeBytes";
import { isPrintableId } from "./isPrintableId.js";
import { jobKeys } from "./jobKeys.js";

/** Largest index of an item for whose progress there must be room in a key. */
const MAX_ITEM_INDEX = 999_999;
/** Segments of a path that clients resolve before they send it. */
const DOT_SEGMENTS = [".", ".."];

/** Whether a job can have the id: it stands in keys of the key-value service, in a header, and in the paths of calls. */
export function isJobIdValid(jobId: JobId): boolean {
    return isPrintableId(jobId)
        && !DOT_SEGMENTS.includes(jobId)
        && jobKeys.progress(jobId, MAX_ITEM_INDEX).length <= MAX_KEY_SIZE_BYTES;
}
