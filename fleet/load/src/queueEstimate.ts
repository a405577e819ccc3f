/** What the queue expects for a request that can't be placed at once. */
export interface QueueEstimate {
    /** Expected time until a slot is free for the request, in milliseconds; infinity without slots. */
    expectedWaitMs: number;
    /** Expected number of requests that are placed before it, over all processes. */
    waitingAhead: number;
    /** Number of slots of the service over all usable upstreams. */
    slots: number;
}
