import type { ExchangeFailure } from "@knapweedwood/fleet.upstreams/exchangeFailure";
import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { Attempt } from "./attempt.js";
import type { GatewayContext } from "./gatewayContext.js";

const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;

type OutcomesContext = Pick<GatewayContext, "clock" | "health" | "metrics" | "quarantine" | "serviceTimes">;

/** Records what the outcomes of attempts tell about upstreams and requests. */
export class AttemptOutcomes {
    private readonly context: OutcomesContext;

    constructor(context: OutcomesContext) {
        this.context = context;
    }

    /**
     * Records a complete response. Server errors count as failures, since an upstream that returns them seems alive but
     * fails some callers.
     *
     * @returns whether the upstream is ejected because of it
     */
    onResponse(attempt: Attempt, statusCode: number, ending: ResponseEnding): boolean {
        this.context.metrics.increment("upstream_responses_total", { ending });
        const nowMs = this.context.clock.nowMs();
        const { upstream } = attempt;
        this.context.serviceTimes.recordHold(upstream.service, nowMs - attempt.startedAtMs);
        if (statusCode === HTTP_OK) {
            attempt.sampler.onEnd();
            this.context.quarantine.onSuccess(attempt.requestRun, upstream);
        }
        if (statusCode >= HTTP_SERVER_ERROR) {
            return this.context.health.onFailure(upstream.id, nowMs);
        }
        this.context.health.onSuccess(upstream.id, nowMs);
        return false;
    }

    /**
     * Records an attempt without a complete response.
     *
     * @returns whether the upstream is ejected because of it
     */
    onFailure(attempt: Attempt, failure: ExchangeFailure): boolean {
        this.context.metrics.increment("upstream_failures_total", { code: failure.code });
        if (failure.mayHaveRun && failure.isConnectionBroken) {
            this.context.quarantine.onCrash(attempt.requestRun, attempt.upstream);
        }
        return this.context.health.onFailure(attempt.upstream.id, this.context.clock.nowMs());
    }
}
