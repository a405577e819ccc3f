/** What the time of an answer is estimated from. */
export interface DeadlineEstimate {
    /** Work that waits before the request, in the unit of `costPerSecond`. */
    queuedCost: number;
    /** Rate at which the queue is served; undefined where it isn't known yet. */
    costPerSecond: number | undefined;
    /** Usual time from being served to the answer, in milliseconds. */
    serviceMs: number;
    deadlineMs: number | undefined;
    nowMs: number;
}
