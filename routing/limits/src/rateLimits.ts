/** Limits of a team or of a caller's key, over all entries together. Undefined means unlimited. */
export interface RateLimits {
    requestsPerSecond?: number | undefined;
    tokensPerSecond?: number | undefined;
    concurrency?: number | undefined;
}
