import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

interface FinishedItem {
    job: OpenJob;
    item: JobItem;
    state: "completed" | "given-up";
}

/** Returns the pending items of open jobs whose restored progress is already final, shape [items]. */
export function findFinishedItems(jobs: readonly OpenJob[]): FinishedItem[] {
    return jobs.filter(job => !job.isEnded).flatMap(job =>
        job.items.filter(item => item.state === "pending").flatMap(item => {
            const state = finalState(item, job.record.maxAttempts);
            return state === undefined ? [] : [{ job, item, state }];
        })
    );
}

function finalState(item: JobItem, maxAttempts: number): "completed" | "given-up" | undefined {
    if (item.isComplete) {
        return "completed";
    }
    return item.isImpossible === true || item.failedAttempts >= maxAttempts ? "given-up" : undefined;
}
