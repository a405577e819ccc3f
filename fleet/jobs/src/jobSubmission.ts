import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { JobCaller } from "./jobCaller.js";
import type { SubmittedItem } from "./submittedItem.js";

/** A batch job as submitted by a caller. */
export interface JobSubmission {
    jobId: JobId;
    items: SubmittedItem[];
    /** Who submits the job; absent while the configuration has no teams. */
    caller?: JobCaller;
}
