import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Random } from "@knapweedwood/core.random/random";
import type { ExchangeObserver } from "@knapweedwood/fleet.upstreams/exchangeObserver";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { OwnCounts } from "@knapweedwood/routing.limits/ownCounts";
import { PeerCounts } from "@knapweedwood/routing.limits/peerCounts";
import { parseRequestRate } from "./parseRequestRate.js";
import { sendTurns } from "./sendTurns.js";
import type { UpstreamLimit } from "./upstreamLimit.js";
import { UpstreamLimitTable } from "./upstreamLimitTable.js";
import { UpstreamMeter } from "./upstreamMeter.js";
import type { UpstreamUsage } from "./upstreamUsage.js";
import type { UpstreamUsageReport } from "./upstreamUsageReport.js";

const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;
const MS_PER_SECOND = 1000;
/** Time after which other processes know of a request that one has sent, in milliseconds. */
const TURN_MS = 60;
/** Largest level of a bucket at which an item may be sent. Callers may use the rest of the room. */
const MAX_LEVEL_FOR_ITEMS = 0.5;
/** Time between checks for outdated state, in milliseconds. */
const EXPIRY_INTERVAL_MS = 5000;

interface UpstreamRequestLimiterOptions {
    clock: Clock;
    random: Random;
    logger: Logger;
    instanceName: InstanceName;
    /** Name of the response header in which an upstream names its limit, in lower case. */
    limitHeader: string;
    /** Returns the other processes that send requests to upstreams, shape [processes]. */
    senders: () => readonly InstanceName[];
    /** Whether a process was heard of a short time ago. */
    isLive: (instanceName: InstanceName) => boolean;
    /** Returns the other processes in which online requests of a service wait, shape [processes]. */
    waitingSenders: (service: ServiceName) => readonly InstanceName[];
}

/**
 * Keeps all processes together to the request rates that upstreams name in their responses, without a central process. Each
 * process meters the requests of all, its own at once and those of the others from their reports, so any process may use a
 * whole limit. docs/design/upstream-limits.md derives the bounds.
 */
export class UpstreamRequestLimiter implements ExchangeObserver {
    private readonly opts: UpstreamRequestLimiterOptions;
    private readonly table: UpstreamLimitTable;
    private readonly meters = new Map<UpstreamId, UpstreamMeter>();
    private readonly ownCounts = new OwnCounts<UpstreamId>();
    private readonly peerCounts = new PeerCounts<UpstreamId>();
    private expiredAtMs = -Infinity;

    constructor(opts: UpstreamRequestLimiterOptions) {
        this.opts = opts;
        this.table = new UpstreamLimitTable(opts);
    }

    /** Counts a request of this process to an upstream. */
    onSent(upstream: Upstream): void {
        const meter = this.meterOf(upstream);
        if (meter !== undefined) {
            const nowMs = this.opts.clock.nowMs();
            meter.add(1, this.timeAt(nowMs));
            this.ownCounts.add(upstream.id, 1, nowMs);
        }
    }

    /**
     * Records what a response says. A limit holds until a successful response of the same process names another or none; an
     * unreadable one changes nothing.
     */
    onResponse({ id: upstreamId, startedAtMs }: Upstream, head: ResponseHead): void {
        const value = head.header(this.opts.limitHeader);
        const observedAtMs = this.opts.clock.nowMs();
        if (value === undefined) {
            const isSuccess = head.statusCode >= HTTP_OK && head.statusCode < HTTP_MULTIPLE_CHOICES;
            if (isSuccess && this.table.limitOf({ id: upstreamId, startedAtMs }) !== undefined) {
                this.observe({ upstreamId, startedAtMs, requestsPerSecond: undefined, observedAtMs });
            }
            return;
        }
        const requestsPerSecond = parseRequestRate(value);
        if (requestsPerSecond === undefined) {
            this.opts.logger.warn("upstream-limit-unreadable", { upstream: upstreamId, value });
            return;
        }
        this.observe({ upstreamId, startedAtMs, requestsPerSecond, observedAtMs });
    }

    /** Returns the limit that an upstream names, in requests a second; undefined if it names none. */
    limitOf(upstream: Upstream): number | undefined {
        return this.table.limitOf(upstream);
    }

    /** Returns the limits in force, in requests a second, shape [upstreams]. */
    limitsInForce(): { upstreamId: UpstreamId; requestsPerSecond: number; }[] {
        return this.table.inForce();
    }

    /** Whether an online request may be sent to an upstream now. */
    mayCall(upstream: Upstream): boolean {
        const meter = this.meterOf(upstream);
        if (meter === undefined) {
            return true;
        }
        const time = this.timeAt(this.opts.clock.nowMs());
        const room = meter.room(time);
        if (room < 1) {
            return false;
        }
        const rank = sendTurns.rankOf(this.opts.instanceName, this.opts.waitingSenders(upstream.service), {
            upstreamId: upstream.id,
            nowMs: time.nowMs,
        });
        const neededRoom = 1 + rank * TURN_MS / MS_PER_SECOND * meter.rate(time.share);
        return room >= Math.min(neededRoom, meter.depth(time.share));
    }

    /** Whether a batch item may be sent to an upstream now. */
    mayRunItem(upstream: Upstream): boolean {
        const meter = this.meterOf(upstream);
        if (meter === undefined) {
            return true;
        }
        const time = this.timeAt(this.opts.clock.nowMs());
        return meter.room(time) >= meter.depth(time.share) - MAX_LEVEL_FOR_ITEMS;
    }

    /** Returns the used part of what an upstream takes after a pause, 0 to 1; 0 for an upstream without a limit. */
    usedShare(upstream: Upstream): number {
        const meter = this.meterOf(upstream);
        if (meter === undefined) {
            return 0;
        }
        const time = this.timeAt(this.opts.clock.nowMs());
        return Math.min(1, 1 - meter.room(time) / meter.depth(time.share));
    }

    /**
     * Returns the number of slots of an upstream that its limit lets requests fill.
     *
     * @param meanHoldMs mean time for which a request holds a slot, in milliseconds
     */
    usableSlots(upstream: Upstream, meanHoldMs: number): number {
        const meter = this.meterOf(upstream);
        return meter === undefined
            ? upstream.slots
            : Math.min(upstream.slots, meter.rate(this.share()) * meanHoldMs / MS_PER_SECOND);
    }

    /** Returns what the next report of this process tells the others. */
    usageToReport(): UpstreamUsage {
        const nowMs = this.opts.clock.nowMs();
        return { counts: this.ownCounts.toReport(nowMs, false), limits: this.table.takeAnnouncements(nowMs) };
    }

    /** Applies the report of another process. */
    apply(report: UpstreamUsageReport): void {
        const nowMs = this.opts.clock.nowMs();
        const { counts, limits } = report.upstreamUsage;
        limits.forEach(announced => {
            const adopted = this.table.adopt(announced, nowMs);
            if (adopted !== undefined) {
                this.onChanged(adopted, report.instanceName);
            }
        });
        const applied = this.peerCounts.apply({ ...report, counts }, false, nowMs);
        if (applied?.isNewProcess === true) {
            this.table.announceAll(nowMs);
        }
        applied?.changes.forEach(({ id, change }) => this.meters.get(id)?.add(change, this.timeAt(nowMs)));
    }

    /** Removes outdated state. */
    expire(): void {
        const nowMs = this.opts.clock.nowMs();
        if (nowMs < this.expiredAtMs + EXPIRY_INTERVAL_MS) {
            return;
        }
        this.expiredAtMs = nowMs;
        this.ownCounts.expire(nowMs);
        this.peerCounts.expire(nowMs);
        this.table.expire(nowMs).forEach(id => this.meters.delete(id));
    }

    private observe(limit: UpstreamLimit): void {
        if (this.table.observe(limit)) {
            this.onChanged(limit, undefined);
        }
    }

    private onChanged(
        { upstreamId, startedAtMs, requestsPerSecond }: UpstreamLimit,
        peer: InstanceName | undefined,
    ): void {
        const isLimited = requestsPerSecond !== undefined;
        this.opts.logger.info("upstream-limit-changed", {
            upstream: upstreamId,
            startedAtMs,
            isLimited,
            requestsPerSecond,
            peer,
        });
        if (!isLimited) {
            this.meters.delete(upstreamId);
            return;
        }
        const nowMs = this.opts.clock.nowMs();
        const known = this.meters.get(upstreamId);
        if (known?.startedAtMs === startedAtMs) {
            known.setLimit(requestsPerSecond, this.timeAt(nowMs));
            return;
        }
        this.meters.set(upstreamId, new UpstreamMeter({ startedAtMs, requestsPerSecond, nowMs }));
    }

    /** Returns the meter of an upstream; undefined if it names no limit. */
    private meterOf(upstream: Upstream): UpstreamMeter | undefined {
        return this.table.limitOf(upstream) === undefined ? undefined : this.meters.get(upstream.id);
    }

    private timeAt(nowMs: number): { nowMs: number; share: number; } {
        return { nowMs, share: this.share() };
    }

    /** Returns the share of the limits that this process and those that it hears may use. The others may use the rest. */
    private share(): number {
        const senders = this.opts.senders();
        const live = senders.filter(name => this.opts.isLive(name)).length;
        return (live + 1) / (senders.length + 1);
    }
}
