import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { SubmittedItem } from "./submittedItem.js";

/** A batch job as submitted by a caller. */
export interface JobSubmission {
    jobId: JobId;
    items: SubmittedItem[];
}
