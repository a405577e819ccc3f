/** What the order of requests depends on, apart from the fair shares of teams. */
export interface Urgency {
    /** 0 is the most urgent. */
    priority: number;
    /** Whether a part of the response has been sent. */
    isStarted: boolean;
    /** Whether the response is expected to miss the route's objective. */
    isLate: boolean;
    isRetry: boolean;
    arrivedAtMs: number;
}
