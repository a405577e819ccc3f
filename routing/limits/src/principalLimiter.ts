import { LeakyBucket } from "./leakyBucket.js";
import type { LimitDecision } from "./limitDecision.js";
import type { LimitPart } from "./limitPart.js";
import type { RateLimit } from "./rateLimit.js";
import type { RateLimits } from "./rateLimits.js";

const BURST_SECONDS = 1;
const CONCURRENCY_RETRY_MS = 100;
const BLOCKED_RETRY_MS = 1000;
const IDLE_TIMEOUT_MS = 60_000;

/** Enforces the limits of one team or key at this entry. */
export class PrincipalLimiter {
    private readonly requests = new LeakyBucket();
    private readonly tokens = new LeakyBucket();
    private inFlightCount = 0;
    private usedAtMs = 0;

    /** Returns whether the limiter has been unused for so long that its state can be dropped. */
    isIdle(nowMs: number): boolean {
        return this.inFlightCount === 0 && nowMs - this.usedAtMs > IDLE_TIMEOUT_MS;
    }

    /** Returns whether a request fits the share of the limits that this entry may use. Does not count the request. */
    check(limits: RateLimits, part: LimitPart, tokens: number, nowMs: number): LimitDecision {
        const { requestsPerSecond, tokensPerSecond, concurrency } = limits;
        if (concurrency !== undefined && this.inFlightCount >= Math.max(1, Math.round(concurrency * part.rateShare))) {
            return { allowed: false, retryAfterMs: CONCURRENCY_RETRY_MS, rejectedBy: "concurrency" };
        }
        const requestsWaitMs = waitMs(this.requests, toRateLimit(requestsPerSecond, part), 1, nowMs);
        if (requestsWaitMs > 0) {
            return { allowed: false, retryAfterMs: requestsWaitMs, rejectedBy: "requests" };
        }
        const tokensWaitMs = waitMs(this.tokens, toRateLimit(tokensPerSecond, part), tokens, nowMs);
        if (tokensWaitMs > 0) {
            return { allowed: false, retryAfterMs: tokensWaitMs, rejectedBy: "tokens" };
        }
        return { allowed: true, retryAfterMs: 0 };
    }

    take(limits: RateLimits, part: LimitPart, tokens: number, nowMs: number): void {
        const requestLimit = toRateLimit(limits.requestsPerSecond, part);
        const tokenLimit = toRateLimit(limits.tokensPerSecond, part);
        this.inFlightCount += 1;
        this.usedAtMs = nowMs;
        if (requestLimit !== undefined) {
            this.requests.take(requestLimit, 1, nowMs);
        }
        if (tokenLimit !== undefined) {
            this.tokens.take(tokenLimit, tokens, nowMs);
        }
    }

    /** @param excessTokens tokens used beyond those taken; negative if fewer were used */
    release(excessTokens: number): void {
        this.inFlightCount = Math.max(0, this.inFlightCount - 1);
        this.tokens.correct(excessTokens);
    }
}

function waitMs(bucket: LeakyBucket, limit: RateLimit | undefined, cost: number, nowMs: number): number {
    if (limit === undefined) {
        return 0;
    }
    return limit.ratePerSecond <= 0 ? BLOCKED_RETRY_MS : bucket.waitMs(limit, cost, nowMs);
}

function toRateLimit(perSecond: number | undefined, part: LimitPart): RateLimit | undefined {
    return perSecond === undefined ? undefined : {
        ratePerSecond: perSecond * part.rateShare,
        burst: Math.max(1, perSecond * part.burstShare * BURST_SECONDS),
    };
}
