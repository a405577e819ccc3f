import type { Clock } from "@knapweedwood/core.clock/clock";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { parseRequestRate } from "./parseRequestRate.js";
import type { UpstreamLimit } from "./upstreamLimit.js";

const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;
/** Time after the last response for which a limit is remembered, in milliseconds. */
const RETENTION_MS = 60_000;

interface UpstreamLimitTableOptions {
    clock: Clock;
    logger: Logger;
    /** Name of the response header in which an upstream names its limit, in lower case. */
    limitHeader: string;
}

/** Remembers the limit that each upstream has named last. */
export class UpstreamLimitTable {
    private readonly opts: UpstreamLimitTableOptions;
    private readonly limits = new Map<UpstreamId, UpstreamLimit>();

    constructor(opts: UpstreamLimitTableOptions) {
        this.opts = opts;
    }

    /**
     * Records what a response says. A limit holds until a successful response of the same process names another or none; an
     * unreadable one changes nothing.
     */
    onResponse(upstream: Upstream, head: ResponseHead): void {
        const value = head.header(this.opts.limitHeader);
        if (value === undefined) {
            const isSuccess = head.statusCode >= HTTP_OK && head.statusCode < HTTP_MULTIPLE_CHOICES;
            if (isSuccess && this.limitOf(upstream) !== undefined) {
                this.record(limitNow(upstream, undefined, this.opts.clock.nowMs()));
            }
            return;
        }
        const requestsPerSecond = parseRequestRate(value);
        if (requestsPerSecond === undefined) {
            this.opts.logger.warn("upstream-limit-unreadable", { upstream: upstream.id, value });
            return;
        }
        this.record(limitNow(upstream, requestsPerSecond, this.opts.clock.nowMs()));
    }

    /** Returns the limit of an upstream, in requests a second; undefined if it has named none. */
    limitOf(upstream: Upstream): number | undefined {
        const limit = this.limits.get(upstream.id);
        return limit?.startedAtMs === upstream.startedAtMs ? limit.requestsPerSecond : undefined;
    }

    /** Removes limits of upstreams that haven't responded for long. */
    expire(): void {
        const expiredBeforeMs = this.opts.clock.nowMs() - RETENTION_MS;
        [...this.limits.values()]
            .filter(({ observedAtMs }) => observedAtMs < expiredBeforeMs)
            .forEach(({ upstreamId }) => this.limits.delete(upstreamId));
    }

    private record(limit: UpstreamLimit): void {
        const { upstreamId, startedAtMs, requestsPerSecond } = limit;
        const previous = this.limits.get(upstreamId);
        this.limits.set(upstreamId, limit);
        if (previous?.requestsPerSecond !== requestsPerSecond || previous?.startedAtMs !== startedAtMs) {
            this.opts.logger.info("upstream-limit-changed", { upstream: upstreamId, startedAtMs, requestsPerSecond });
        }
    }
}

function limitNow(
    { id, startedAtMs }: Upstream,
    requestsPerSecond: number | undefined,
    nowMs: number,
): UpstreamLimit {
    return { upstreamId: id, startedAtMs, requestsPerSecond, observedAtMs: nowMs };
}
