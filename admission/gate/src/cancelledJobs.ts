import type { JobId } from "@knapweedwood/core.ids/jobId";

const MAX_JOB_IDS = 1000;

/** Recently cancelled jobs. Items of such jobs that are still in transit are not run. */
export class CancelledJobs {
    private readonly jobIds = new Set<JobId>();

    add(jobId: JobId): void {
        this.jobIds.add(jobId);
        const oldest = this.jobIds.values().next().value;
        if (this.jobIds.size > MAX_JOB_IDS && oldest !== undefined) {
            this.jobIds.delete(oldest);
        }
    }

    has(jobId: JobId): boolean {
        return this.jobIds.has(jobId);
    }
}
