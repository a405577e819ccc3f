import type { JobId } from "@knapweedwood/core.ids/jobId";

/** Marks a job that is not final, for the owner of its partition to find. */
export interface OpenJob {
    jobId: JobId;
    cancelled: boolean;
}
