import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

interface StartableItem {
    job: OpenJob;
    item: JobItem;
}

interface RankedItem extends StartableItem {
    /** Latest time at which the item should have begun, Unix ms. */
    beginByMs: number;
    /** Whether the item would be late even if it started now. */
    isLate: boolean;
}

/**
 * Returns the items that may start now, ordered by the time at which they should have begun: their due time less the
 * time that they take, so that large items are served like small ones. Items with more progress go first. Under
 * overload, items that can no longer finish in time come last, since each of them would make another item late.
 *
 * Load pattern: more items than slots for longer than the time in which they are due.
 */
export function orderStartableItems(
    jobs: readonly OpenJob[],
    opts: {
        nowMs: number;
        remainingMs: (item: JobItem) => number;
        totalMs: (item: JobItem) => number;
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
        .map(waiting => {
            const { job: { record: { dueAtMs } }, item } = waiting;
            const isLate = opts.nowMs + opts.remainingMs(item) > dueAtMs;
            return { ...waiting, beginByMs: dueAtMs - opts.totalMs(item), isLate };
        })
        .sort(compare);
}

function compare(left: RankedItem, right: RankedItem): number {
    return Number(left.isLate) - Number(right.isLate)
        || left.beginByMs - right.beginByMs
        || right.item.lastEventId - left.item.lastEventId;
}
