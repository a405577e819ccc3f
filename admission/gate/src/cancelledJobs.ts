import type { JobId } from "@knapweedwood/core.ids/jobId";

const MAX_JOB_IDS = 1000;

/** The jobs that were cancelled of late, so that items still on their way are not run. */
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
