import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";

/** A job's committed progress at a check of the oracle, with its partition's fencing number read after it. */
export interface JobSnapshot {
    progress: JobProgress;
    partitionFencingNumber: number;
}
