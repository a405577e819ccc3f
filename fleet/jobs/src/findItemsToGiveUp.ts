import { giveUpReason } from "./giveUpReason.js";
import type { ItemsToGiveUp } from "./itemsToGiveUp.js";
import type { OpenJob } from "./openJob.js";

/**
 * Returns the pending items of open jobs that can't be run any more, shape [jobs].
 *
 * @param opts.nowMs current time, Unix ms
 * @param opts.missingSinceMs returns the time since which a job's route is missing, Unix ms; infinity if it isn't
 */
export function findItemsToGiveUp(
    jobs: readonly OpenJob[],
    opts: { nowMs: number; missingSinceMs: (job: OpenJob) => number; },
): ItemsToGiveUp[] {
    return jobs.filter(job => !job.isEnded).flatMap(job => {
        const reason = giveUpReason(job.record, { nowMs: opts.nowMs, missingSinceMs: opts.missingSinceMs(job) });
        const items = job.items.filter(item => item.state === "pending");
        return reason !== undefined && items.length > 0 ? [{ job, items, reason }] : [];
    });
}
