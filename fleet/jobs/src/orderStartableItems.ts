import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

interface StartableItem {
    job: OpenJob;
    item: JobItem;
}

interface RankedItem extends StartableItem {
    /** Latest start with which the item is expected to end in time, Unix ms. */
    latestStartAtMs: number;
    /** Whether the item would be late even if it started now. */
    isLate: boolean;
}

/**
 * Returns the items that may start now: those that have begun by due time, then the others by their latest start, so
 * that large items begin early enough and are served like small ones. Under overload, items that can no longer finish in
 * time come last, since each of them would make another item late.
 *
 * Load pattern: more items than slots for longer than the time in which they are due.
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
        .map(waiting => {
            const latestStartAtMs = waiting.job.record.dueAtMs - opts.remainingMs(waiting.item);
            return { ...waiting, latestStartAtMs, isLate: opts.nowMs > latestStartAtMs };
        })
        .sort(compare);
}

function compare(left: RankedItem, right: RankedItem): number {
    return Number(left.isLate) - Number(right.isLate)
        || Number(hasBegun(right)) - Number(hasBegun(left))
        || (hasBegun(left) ? left.job.record.dueAtMs - right.job.record.dueAtMs : 0)
        || left.latestStartAtMs - right.latestStartAtMs;
}

function hasBegun({ item }: StartableItem): boolean {
    return item.lastEventId > 0;
}
