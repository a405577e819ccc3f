import { demandOf } from "./demandOf.js";
import type { LimitDecision } from "./limitDecision.js";
import type { Limiter } from "./limiter.js";
import type { LimitPart } from "./limitPart.js";
import type { LimitRelease } from "./limitRelease.js";
import type { LimitRequest } from "./limitRequest.js";
import type { LimitShares } from "./limitShares.js";
import type { PrincipalId } from "./principalId.js";
import { PrincipalLimiter } from "./principalLimiter.js";
import type { RateLimits } from "./rateLimits.js";

interface SharedLimiterOptions {
    shares: LimitShares;
}

interface Principal {
    principalId: PrincipalId;
    limiter: PrincipalLimiter;
    limits: RateLimits;
}

const CLEANUP_INTERVAL_REQUESTS = 10_000;

/**
 * Enforces this entry's share of the limits of teams and keys. A request is admitted only by both its team and its
 * key. A rejected request is counted by neither.
 */
export class SharedLimiter implements Limiter {
    private readonly shares: LimitShares;
    private readonly limiters = new Map<PrincipalId, PrincipalLimiter>();
    private requestsUntilCleanup = CLEANUP_INTERVAL_REQUESTS;

    constructor(opts: SharedLimiterOptions) {
        this.shares = opts.shares;
    }

    tryAcquire(request: LimitRequest): LimitDecision {
        const { nowMs, tokens } = request;
        this.removeIdleLimiters(nowMs);
        const principals = this.principalsOf(request).map(principal => ({
            ...principal,
            part: this.recordDemand(principal, tokens, nowMs),
        }));
        const rejections = principals
            .map(({ limiter, limits, part }) => limiter.check(limits, part, tokens, nowMs))
            .filter(decision => !decision.allowed);
        if (rejections.length > 0) {
            return rejections.reduce((longest, next) => next.retryAfterMs > longest.retryAfterMs ? next : longest);
        }
        principals.forEach(({ limiter, limits, part }) => limiter.take(limits, part, tokens, nowMs));
        return { allowed: true, retryAfterMs: 0 };
    }

    release(release: LimitRelease): void {
        const excessTokens = (release.usedTokens ?? release.tokens) - release.tokens;
        this.principalsOf(release).forEach(({ limiter }) => limiter.release(excessTokens));
    }

    private recordDemand({ principalId, limits }: Principal, tokens: number, nowMs: number): LimitPart {
        const demand = demandOf(limits, tokens);
        if (demand > 0) {
            this.shares.onDemand(principalId, demand, nowMs);
        }
        return this.partOf(principalId, nowMs);
    }

    private partOf(principalId: PrincipalId, nowMs: number): LimitPart {
        return { rateShare: this.shares.shareOf(principalId, nowMs), burstShare: 1 / this.shares.entryCount };
    }

    private principalsOf({ teamId, keyId, limits, keyLimits }: LimitRequest | LimitRelease): Principal[] {
        const team = { principalId: teamId, limiter: this.limiterOf(teamId), limits };
        return keyId === undefined || keyLimits === undefined
            ? [team]
            : [team, { principalId: keyId, limiter: this.limiterOf(keyId), limits: keyLimits }];
    }

    private limiterOf(principalId: PrincipalId): PrincipalLimiter {
        const limiter = this.limiters.get(principalId) ?? new PrincipalLimiter();
        this.limiters.set(principalId, limiter);
        return limiter;
    }

    /** Periodically removes the limiters of idle teams and keys. */
    private removeIdleLimiters(nowMs: number): void {
        this.requestsUntilCleanup -= 1;
        if (this.requestsUntilCleanup > 0) {
            return;
        }
        this.requestsUntilCleanup = CLEANUP_INTERVAL_REQUESTS;
        [...this.limiters]
            .filter(([, limiter]) => limiter.isIdle(nowMs))
            .forEach(([principalId]) => this.limiters.delete(principalId));
    }
}
