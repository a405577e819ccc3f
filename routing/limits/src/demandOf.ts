import type { RateLimits } from "./rateLimits.js";

/** What a request asks for, as a part of the limit's amount for a second; the largest part of several limits. */
export function demandOf(limits: RateLimits, tokens: number): number {
    const parts = [
        [1, limits.requestsPerSecond],
        [tokens, limits.tokensPerSecond],
        [1, limits.concurrency],
    ] as const;
    return Math.max(0, ...parts.map(([amount, limit]) => limit === undefined || limit <= 0 ? 0 : amount / limit));
}
