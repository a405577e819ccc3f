/** Whether a request is admitted. */
export interface LimitDecision {
    allowed: boolean;
    /** Estimated time until the request would be admitted, in milliseconds; 0 if allowed. */
    retryAfterMs: number;
    /** The limit that rejected the request. */
    rejectedBy?: "requests" | "tokens" | "concurrency" | undefined;
}
