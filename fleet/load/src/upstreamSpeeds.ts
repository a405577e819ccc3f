import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { LoadReport } from "./loadReport.js";
import { MedianTime } from "./medianTime.js";
import { SpeedBelief } from "./speedBelief.js";
import type { UpstreamCount } from "./upstreamCount.js";
import type { UpstreamSpeed } from "./upstreamSpeed.js";

/** Weights of samples, in events. First data and holds also vary with the size of the request. */
const FIRST_DATA_WEIGHT = 0.5;
const HOLD_WEIGHT = 0.5;
/** Weight of an upstream in one report of a peer, which comes from several samples. Reports are repeated. */
const REPORT_WEIGHT = 1;
/** Largest slowness of one sample, so that one slow request moves the belief little. */
const MAX_SAMPLES: { [Kind in TimeKind]: number; } = { eventGap: 10, firstData: 4, hold: 8 };
const MAX_SLOWNESS = 10;
/** Smallest slowness, so that no upstream counts as free of cost. */
const MIN_SLOWNESS = 0.2;
/** Ratio to 1 from which on a speed is reported and used. Smaller ones are noise of the samples. */
const MIN_DIFFERENCE = 1.15;
/** Weight of own samples from which on a speed is reported. */
const MIN_REPORT_WEIGHT = 3;
/** Maximum number of speeds in a report. Each takes two bytes. */
const MAX_REPORTED = 24;
/** Delay of a timer from which on this process counts as stalled, in milliseconds. */
const STALL_MS = 15;
/** Time after a stall in which data that arrived during it is handled, in milliseconds. */
const CATCH_UP_MS = 5;
/** Time without samples after which a belief is dropped, in milliseconds. It has returned to 1 by then. */
const BELIEF_VALID_MS = 60_000;
const HUNDREDTHS = 100;

interface ServiceMedians {
    eventGap: MedianTime;
    firstData: MedianTime;
    hold: MedianTime;
}

type TimeKind = keyof ServiceMedians;

/**
 * Learns how fast each upstream is, as the ratio of its times to the medians of its service. The samples are the gaps
 * between events, times to first data and, for services that don't stream, hold times of this process's requests, and
 * the speeds in the load reports of peers. A report contains only what its sender has observed itself, so that no process
 * receives its own samples back.
 */
export class UpstreamSpeeds {
    private readonly clock: Clock;
    private readonly beliefs = new Map<UpstreamId, SpeedBelief>();
    private readonly medians = new Map<ServiceName, ServiceMedians>();
    private stalledUntilMs = -Infinity;

    constructor(opts: { clock: Clock; }) {
        this.clock = opts.clock;
    }

    /** Records that an upstream has sent `count` events of one response since `sinceMs`, when it sent the ones before. */
    recordEvents(upstream: Upstream, count: number, sinceMs: number): void {
        this.record(upstream, { kind: "eventGap", sinceMs, count, weight: count });
    }

    /** Records the first data of a stream of a request that was sent at `sentAtMs`. */
    recordFirstData(upstream: Upstream, sentAtMs: number): void {
        this.record(upstream, { kind: "firstData", sinceMs: sentAtMs, count: 1, weight: FIRST_DATA_WEIGHT });
    }

    /**
     * Records the end of a response to a request that was sent at `sentAtMs`. Only responses that aren't streams are
     * samples of the speed, since the duration of a stream depends more on the request.
     */
    recordHold(upstream: Upstream, sentAtMs: number, isStream: boolean): void {
        const weight = isStream ? 0 : HOLD_WEIGHT;
        this.record(upstream, { kind: "hold", sinceMs: sentAtMs, count: 1, weight });
    }

    /** Records a timer that was due at `dueAtMs` and runs now. Times measured while this process stalled are ignored. */
    recordTimer(dueAtMs: number): void {
        const nowMs = this.clock.nowMs();
        if (nowMs > dueAtMs + STALL_MS) {
            this.stalledUntilMs = nowMs + CATCH_UP_MS;
        }
    }

    /** Applies the speeds in the report of a peer. */
    apply(report: LoadReport): void {
        const nowMs = this.clock.nowMs();
        report.speeds?.forEach(({ upstreamId, slowness }) => {
            const belief = this.beliefs.get(upstreamId) ?? new SpeedBelief(undefined);
            this.beliefs.set(upstreamId, belief);
            belief.addOfPeer(Math.min(MAX_SLOWNESS, slowness), REPORT_WEIGHT, nowMs);
        });
    }

    /** Returns the speeds that differ from the mean, of upstreams with requests of this process, shape [upstreams]. */
    reported(counts: readonly UpstreamCount[]): UpstreamSpeed[] {
        const nowMs = this.clock.nowMs();
        return counts
            .flatMap(({ upstreamId }) => {
                const slowness = this.beliefs.get(upstreamId)?.ownSlowness(MIN_REPORT_WEIGHT, nowMs);
                return slowness === undefined || isMean(slowness) ? [] : [{ upstreamId, slowness }];
            })
            .sort((left, right) => differenceOf(right.slowness) - differenceOf(left.slowness))
            .slice(0, MAX_REPORTED);
    }

    /** Returns the slowness that a request meets now: 2 is half as fast as the service's mean, 1 the mean or unknown. */
    slownessOf(id: UpstreamId): number {
        return usedOf(this.beliefs.get(id)?.slowness(this.clock.nowMs()) ?? 1);
    }

    /** Returns the slowness over some seconds, in the same units. */
    lastingSlownessOf(id: UpstreamId): number {
        return usedOf(this.beliefs.get(id)?.lastingSlowness(this.clock.nowMs()) ?? 1);
    }

    /** Returns the slowness that a request meets now, in hundredths, for log lines; undefined if it is 1. */
    loggedSlownessOf(id: UpstreamId): number | undefined {
        const slowness = this.slownessOf(id);
        return slowness === 1 ? undefined : Math.round(slowness * HUNDREDTHS) / HUNDREDTHS;
    }

    /** Returns the age of the newest sample of an upstream in milliseconds; undefined without samples. */
    ageMs(id: UpstreamId): number | undefined {
        const belief = this.beliefs.get(id);
        return belief === undefined || belief.sampledAtMs === -Infinity
            ? undefined
            : this.clock.nowMs() - belief.sampledAtMs;
    }

    /** Returns the usual time from the placement of a stream to its first data, in milliseconds; 0 if unknown. */
    firstDataMs(service: ServiceName): number {
        return this.medians.get(service)?.firstData.valueMs(this.clock.nowMs()) ?? 0;
    }

    /** Returns the usual time between events in milliseconds; 0 if unknown. */
    eventGapMs(service: ServiceName): number {
        return this.medians.get(service)?.eventGap.valueMs(this.clock.nowMs()) ?? 0;
    }

    /** Returns the usual time for which a request holds a slot, in milliseconds; 0 if unknown. */
    holdMs(service: ServiceName): number {
        return this.medians.get(service)?.hold.valueMs(this.clock.nowMs()) ?? 0;
    }

    /** Returns the time until `atMs` in milliseconds; negative after it. */
    timeUntilMs(atMs: number): number {
        return atMs - this.clock.nowMs();
    }

    /** Returns the upstreams with a belief, shape [upstreams]. */
    ids(): UpstreamId[] {
        return [...this.beliefs.keys()];
    }

    /** Removes what is known of an upstream that has left or restarted. */
    forget(id: UpstreamId): void {
        this.beliefs.delete(id);
        this.medians.forEach(({ eventGap, firstData, hold }) =>
            [eventGap, firstData, hold].forEach(median => median.forget(id))
        );
    }

    /** Drops beliefs without samples for long, such as those from late reports about upstreams that have left. */
    expire(): void {
        const oldestMs = this.clock.nowMs() - BELIEF_VALID_MS;
        [...this.beliefs].filter(([, belief]) => belief.sampledAtMs < oldestMs).forEach(([id]) => this.forget(id));
    }

    private record(
        upstream: Upstream,
        sample: { kind: TimeKind; sinceMs: number; count: number; weight: number; },
    ): void {
        const nowMs = this.clock.nowMs();
        const belief = this.beliefOf(upstream);
        if (belief === undefined || sample.sinceMs < this.stalledUntilMs) {
            return;
        }
        const timeMs = (nowMs - sample.sinceMs) / sample.count;
        const median = this.mediansOf(upstream.service)[sample.kind];
        median.add(upstream.id, timeMs, sample.count, nowMs);
        const medianMs = median.valueMs(nowMs);
        if (medianMs > 0 && sample.weight > 0) {
            belief.addOwn(Math.min(MAX_SAMPLES[sample.kind], timeMs / medianMs), sample.weight, nowMs);
        }
    }

    /** Returns the belief about an upstream's process; undefined if a newer process is known. */
    private beliefOf({ id, startedAtMs }: Upstream): SpeedBelief | undefined {
        const known = this.beliefs.get(id);
        if (known?.startedAtMs !== undefined && known.startedAtMs > startedAtMs) {
            return undefined;
        }
        if (known !== undefined && (known.startedAtMs ?? startedAtMs) === startedAtMs) {
            known.startedAtMs = startedAtMs;
            return known;
        }
        this.forget(id);
        const belief = new SpeedBelief(startedAtMs);
        this.beliefs.set(id, belief);
        return belief;
    }

    private mediansOf(service: ServiceName): ServiceMedians {
        const medians = this.medians.get(service)
            ?? { eventGap: new MedianTime(), firstData: new MedianTime(), hold: new MedianTime() };
        this.medians.set(service, medians);
        return medians;
    }
}

function differenceOf(slowness: number): number {
    return Math.abs(Math.log(slowness));
}

function usedOf(slowness: number): number {
    return isMean(slowness) ? 1 : Math.max(MIN_SLOWNESS, slowness);
}

function isMean(slowness: number): boolean {
    return slowness < MIN_DIFFERENCE && slowness * MIN_DIFFERENCE > 1;
}
