import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { Team } from "@knapweedwood/fleet.view/team";
import type { FleetRateLimiter } from "@knapweedwood/routing.limits/fleetRateLimiter";
import type { RateAdmission } from "@knapweedwood/routing.limits/rateAdmission";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { GatewayContext } from "./gatewayContext.js";
import { headerOf } from "./headerOf.js";
import { remainingMsOf } from "./remainingMsOf.js";
import { sendFailure } from "./sendFailure.js";

type LimitsContext = Pick<GatewayContext, "clock" | "headers" | "logger" | "metrics" | "onLoadChanged" | "random">;

interface LimitedCall {
    route: Pick<Route, "name" | "isAnonymous" | "timeoutMs">;
    team: Team | undefined;
    request: IncomingMessage;
    response: ServerResponse;
    arrivedAtMs: number;
}

/** Maximum retry time, as a share of the time that the caller has left. */
const MAX_RETRY_SHARE = 1 / 3;
/** Lower bound of the random factor of the retry time, so that not all rejected callers return at once. */
const MIN_JITTER = 0.7;
const MIN_RETRY_MS = 10;
/** Maximum number of log lines on rejected requests in each interval. */
const MAX_LOG_LINES = 10;
const LOG_INTERVAL_MS = 1000;

/** Rejects requests of teams over their limits, before they take a place in a queue. */
export class RequestLimits {
    private readonly context: LimitsContext;
    private readonly limiter: FleetRateLimiter;
    private logIntervalAtMs = -Infinity;
    private logLines = 0;
    private omittedLines = 0;

    constructor(opts: { context: LimitsContext; limiter: FleetRateLimiter; }) {
        this.context = opts.context;
        this.limiter = opts.limiter;
    }

    /**
     * Admits a call, or responds to it with 429.
     *
     * @returns the decision; undefined if the call isn't limited
     */
    admit(call: LimitedCall): RateAdmission | undefined {
        const { team, route } = call;
        const admission = team === undefined || route.isAnonymous
            ? undefined
            : this.limiter.tryAdmit(team, this.context.clock.nowMs());
        if (admission === undefined) {
            return undefined;
        }
        const outcome = admission.isAdmitted ? "admitted" : "limited";
        this.context.metrics.increment("team_requests_total", { team: admission.teamId, outcome });
        if (admission.isAdmitted) {
            this.context.onLoadChanged();
        }
        else {
            this.reject(call, admission);
        }
        return admission;
    }

    /** Returns the place of a request that was admitted and has not run. */
    release(admission: RateAdmission | undefined): void {
        if (admission?.isAdmitted === true) {
            this.limiter.release(admission, this.context.clock.nowMs());
            this.context.onLoadChanged();
        }
    }

    private reject(call: LimitedCall, admission: RateAdmission): void {
        const { clock, headers, random } = this.context;
        const { request, response, route, arrivedAtMs } = call;
        const remainingMs = remainingMsOf(request, route, headers);
        const elapsedMs = clock.nowMs() - arrivedAtMs;
        const leftMs = Math.max(0, Math.min(remainingMs, route.timeoutMs) - elapsedMs);
        const jitter = MIN_JITTER + (1 - MIN_JITTER) * random.next();
        const retryAfterMs = Math.max(
            MIN_RETRY_MS,
            Math.min(admission.retryAfterMs, leftMs * MAX_RETRY_SHARE) * jitter,
        );
        this.log(call, admission, retryAfterMs);
        const message = `Team ${admission.teamId} is over its limit of requests per second`;
        sendFailure(response, { statusCode: 429, message, retryAfterMs });
    }

    private log({ request, route, team }: LimitedCall, admission: RateAdmission, retryAfterMs: number): void {
        const nowMs = this.context.clock.nowMs();
        if (nowMs >= this.logIntervalAtMs + LOG_INTERVAL_MS) {
            this.logIntervalAtMs = nowMs;
            this.logLines = 0;
        }
        this.logLines += 1;
        if (this.logLines > MAX_LOG_LINES) {
            this.omittedLines += 1;
            return;
        }
        const { share, oldestReportAgeMs } = this.limiter.viewAt(nowMs);
        this.context.logger.info("call-limited", {
            requestId: headerOf(request, this.context.headers.requestId) as RequestId | undefined,
            route: route.name,
            team: admission.teamId,
            bucketLevel: Math.round(admission.level),
            requestsPerSecond: team?.requestsPerSecond,
            burst: team?.burst,
            share,
            oldestReportAgeMs: Number.isFinite(oldestReportAgeMs) ? Math.round(oldestReportAgeMs) : undefined,
            retryAfterMs: Math.round(retryAfterMs),
            omittedLines: this.omittedLines,
        });
        this.omittedLines = 0;
    }
}
