/** Whether a request is let in. */
export interface LimitDecision {
    allowed: boolean;
    /** When the request would be let in as far as is known, in milliseconds from now; 0 where allowed. */
    retryAfterMs: number;
    /** The limit that refused the request. */
    rejectedBy?: "requests" | "tokens" | "concurrency" | undefined;
}
