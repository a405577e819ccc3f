import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

interface WaitingItem {
    job: OpenJob;
    item: JobItem;
}

/** Items that may start now: by due time, those that are late already last, begun ones first. */
export function orderOfItems(jobs: readonly OpenJob[], nowMs: number): WaitingItem[] {
    return jobs
        .filter(job => !job.isEnded && job.isLoaded)
        .flatMap(job => job.items.map(item => ({ job, item })))
        .filter(({ item }) => item.state === "pending" && item.notBeforeMs <= nowMs)
        .sort((left, right) => compare(left, right, nowMs));
}

function compare(left: WaitingItem, right: WaitingItem, nowMs: number): number {
    const isLate = (waiting: WaitingItem) => Number(waiting.job.record.dueAtMs < nowMs);
    return isLate(left) - isLate(right)
        || left.job.record.dueAtMs - right.job.record.dueAtMs
        || right.item.lastEventId - left.item.lastEventId;
}
