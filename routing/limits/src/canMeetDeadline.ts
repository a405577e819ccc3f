import type { DeadlineEstimate } from "./deadlineEstimate.js";

const MS_PER_SECOND = 1000;

/** Whether a request is worth queueing: one that would be late is better refused at once, as not run. */
export function canMeetDeadline(estimate: DeadlineEstimate): boolean {
    const { queuedCost, costPerSecond, serviceMs, deadlineMs, nowMs } = estimate;
    if (deadlineMs === undefined) {
        return true;
    }
    const waitMs = costPerSecond === undefined ? 0 : queuedCost / costPerSecond * MS_PER_SECOND;
    return nowMs + waitMs + serviceMs <= deadlineMs;
}
