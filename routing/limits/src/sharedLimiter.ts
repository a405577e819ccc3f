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

const SWEEP_EVERY_REQUESTS = 10_000;

/** Limits of teams and keys of which this entry holds a share. A request is let in by both or counted by neither. */
export class SharedLimiter implements Limiter {
    private readonly shares: LimitShares;
    private readonly principals = new Map<PrincipalId, PrincipalLimiter>();
    private requestsUntilSweep = SWEEP_EVERY_REQUESTS;

    constructor(opts: SharedLimiterOptions) {
        this.shares = opts.shares;
    }

    tryAcquire(request: LimitRequest): LimitDecision {
        const { nowMs, tokens } = request;
        this.sweep(nowMs);
        const principals = this.principalsOf(request).map(principal => ({
            ...principal,
            part: this.partOnDemand(principal, tokens, nowMs),
        }));
        const refusals = principals
            .map(({ limiter, limits, part }) => limiter.check(limits, part, tokens, nowMs))
            .filter(decision => !decision.allowed);
        if (refusals.length > 0) {
            return refusals.reduce((longest, one) => one.retryAfterMs > longest.retryAfterMs ? one : longest);
        }
        principals.forEach(({ limiter, limits, part }) => limiter.take(limits, part, tokens, nowMs));
        return { allowed: true, retryAfterMs: 0 };
    }

    release(release: LimitRelease): void {
        const unexpectedTokens = (release.usedTokens ?? release.tokens) - release.tokens;
        this.principalsOf(release).forEach(({ limiter }) => limiter.release(unexpectedTokens));
    }

    private partOnDemand({ principalId, limits }: Principal, tokens: number, nowMs: number): LimitPart {
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
        const team = { principalId: teamId, limiter: this.principalOf(teamId), limits };
        return keyId === undefined || keyLimits === undefined
            ? [team]
            : [team, { principalId: keyId, limiter: this.principalOf(keyId), limits: keyLimits }];
    }

    private principalOf(principalId: PrincipalId): PrincipalLimiter {
        const known = this.principals.get(principalId) ?? new PrincipalLimiter();
        this.principals.set(principalId, known);
        return known;
    }

    /** Forgets teams and keys that have been idle, now and then. */
    private sweep(nowMs: number): void {
        this.requestsUntilSweep -= 1;
        if (this.requestsUntilSweep > 0) {
            return;
        }
        this.requestsUntilSweep = SWEEP_EVERY_REQUESTS;
        [...this.principals]
            .filter(([, limiter]) => limiter.isIdle(nowMs))
            .forEach(([principalId]) => this.principals.delete(principalId));
    }
}
