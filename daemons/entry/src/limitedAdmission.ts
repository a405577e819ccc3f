import type { CallAdmission } from "@knapweedwood/api.callers/callAdmission";
import type { Caller } from "@knapweedwood/api.callers/caller";
import type { CallUsage } from "@knapweedwood/api.callers/callUsage";
import type { UsageMeter } from "@knapweedwood/api.operators/usageMeter";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Limiter } from "@knapweedwood/routing.limits/limiter";
import type { LimitRequest } from "@knapweedwood/routing.limits/limitRequest";

const HTTP_TOO_MANY_REQUESTS = 429;

/** Admits calls within the limits of their team and key, and records their usage. */
export class LimitedAdmission implements CallAdmission {
    private readonly opts: { limiter: Limiter; usage: UsageMeter; clock: Clock; metrics: Metrics; };

    constructor(opts: LimitedAdmission["opts"]) {
        this.opts = opts;
    }

    admit(opts: { caller: Caller; service: ServiceDefinition; tokens: number; }): (used: CallUsage) => void {
        const { clock, limiter, usage } = this.opts;
        const request = this.limitRequestOf(opts.caller, opts.tokens);
        this.assertWithinLimits(request);
        return used => {
            const usedTokens = used.promptTokens + used.completionTokens;
            limiter.release({ ...request, usedTokens, nowMs: clock.nowMs() });
            usage.record({ teamId: opts.caller.team.teamId, calls: 1, ...used });
        };
    }

    private limitRequestOf({ team, key }: Caller, tokens: number): LimitRequest {
        return {
            teamId: team.teamId,
            keyId: key.keyId,
            limits: team.limits,
            keyLimits: key.limits,
            tokens,
            nowMs: this.opts.clock.nowMs(),
        };
    }

    private assertWithinLimits(request: LimitRequest): void {
        const decision = this.opts.limiter.tryAcquire(request);
        if (decision.allowed) {
            return;
        }
        const reason = decision.rejectedBy ?? "requests";
        this.opts.metrics.increment("refused", { reason: `limit-${reason}` });
        throw new KnapweedError("LIMIT_EXCEEDED", `The limit for ${reason} is reached`, {
            statusCode: HTTP_TOO_MANY_REQUESTS,
            outcome: "not-run",
            retryAfterMs: decision.retryAfterMs,
        });
    }
}
