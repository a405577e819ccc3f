import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";

/** What the oracle saw of a job's committed progress, and the fencing number of its partition then. */
export interface JobSnapshot {
    progress: JobProgress;
    partitionFencingNumber: number;
}
