import type { JobId } from "@knapweedwood/core.ids/jobId";

/** Marks a job that is not in a final state, so that the owner of its partition finds it. */
export interface OpenJob {
    jobId: JobId;
    cancelled: boolean;
}
