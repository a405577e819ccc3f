import type { DeadlineEstimate } from "./deadlineEstimate.js";

const MS_PER_SECOND = 1000;

/**
 * Returns whether a request can be served before its deadline. A request that would be late is better rejected at once,
 * with outcome not-run, than queued.
 */
export function canMeetDeadline(estimate: DeadlineEstimate): boolean {
    const { queuedCost, costPerSecond, serviceMs, deadlineMs, nowMs } = estimate;
    if (deadlineMs === undefined) {
        return true;
    }
    const waitMs = costPerSecond === undefined ? 0 : queuedCost / costPerSecond * MS_PER_SECOND;
    return nowMs + waitMs + serviceMs <= deadlineMs;
}
