import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

/** Returns the pending items of open jobs whose restored output is already complete, shape [items]. */
export function findCompleteItems(jobs: readonly OpenJob[]): { job: OpenJob; item: JobItem; }[] {
    return jobs.filter(job => !job.isEnded).flatMap(job =>
        job.items.filter(item => item.state === "pending" && item.isComplete).map(item => ({ job, item }))
    );
}
