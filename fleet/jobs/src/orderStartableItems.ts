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
    opts: { nowMs: number; remainingMs: (item: JobItem) => number; },
): StartableItem[] {
    return jobs
        .filter(job => !job.isEnded && job.isLoaded)
        .flatMap(job => job.items.map(item => ({ job, item })))
        .filter(({ item }) => item.state === "pending" && item.notBeforeMs <= opts.nowMs)
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
