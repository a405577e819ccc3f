/** Values from which the time of a response is estimated. */
export interface DeadlineEstimate {
    /** Work queued ahead of the request, in the unit of `costPerSecond`. */
    queuedCost: number;
    /** Rate at which the queue is served; undefined while it is unknown. */
    costPerSecond: number | undefined;
    /** Typical time from leaving the queue to the response, in milliseconds. */
    serviceMs: number;
    deadlineMs: number | undefined;
    nowMs: number;
}
