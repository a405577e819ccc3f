import type { RateLimits } from "./rateLimits.js";

/**
 * Returns the demand of a request as a share of the amount that a limit allows in one second. With several limits it is
 * the largest of their shares.
 */
export function demandOf(limits: RateLimits, tokens: number): number {
    const parts = [
        [1, limits.requestsPerSecond],
        [tokens, limits.tokensPerSecond],
        [1, limits.concurrency],
    ] as const;
    return Math.max(0, ...parts.map(([amount, limit]) => limit === undefined || limit <= 0 ? 0 : amount / limit));
}
