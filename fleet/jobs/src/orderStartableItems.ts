import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

interface StartableItem {
    job: OpenJob;
    item: JobItem;
}

interface RankedItem extends StartableItem {
    /** Whether the item would be late even if it started now. */
    isLate: boolean;
}

/**
 * Returns the items that may start now, ordered by due time; items with more progress go first. Under overload, items
 * that can no longer finish in time come last, since each of them would make another item late.
 */
export function orderStartableItems(
    jobs: readonly OpenJob[],
    opts: {
        nowMs: number;
        remainingMs: (item: JobItem) => number;
        /** Whether a slot is free for the item. */
        hasFreeSlot: (job: OpenJob, item: JobItem) => boolean;
    },
): StartableItem[] {
    return jobs
        .filter(job => !job.isEnded && job.isLoaded)
        .flatMap(job =>
            job.items
                .filter(item => item.state === "pending" && item.notBeforeMs <= opts.nowMs)
                .filter(item => opts.hasFreeSlot(job, item))
                .map(item => ({ job, item }))
        )
        .map(waiting => ({
            ...waiting,
            isLate: opts.nowMs + opts.remainingMs(waiting.item) > waiting.job.record.dueAtMs,
        }))
        .sort(compare);
}

function compare(left: RankedItem, right: RankedItem): number {
    return Number(left.isLate) - Number(right.isLate)
        || left.job.record.dueAtMs - right.job.record.dueAtMs
        || right.item.lastEventId - left.item.lastEventId;
}
