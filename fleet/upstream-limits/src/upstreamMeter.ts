import { LeakyBucket } from "@knapweedwood/routing.limits/leakyBucket";

/** Size of a burst after a pause, in seconds of the rate. One further request is allowed. */
const BURST_S = 1.5;
/**
 * Rate to which a smaller limit is raised, in requests a second. An upstream that gets no requests could never say that it
 * takes more again.
 */
const MIN_REQUESTS_PER_SECOND = 0.2;

interface MeterTime {
    nowMs: number;
    /** Share of the limit that this process may use together with the processes that it hears, in (0, 1]. */
    share: number;
}

/** Meters the requests of all processes to one upstream. It begins without room, since the upstream is in need. */
export class UpstreamMeter {
    /** Start of the upstream's process that has named the limit, Unix ms. */
    readonly startedAtMs: number;
    private readonly bucket = new LeakyBucket();
    private requestsPerSecond: number;

    constructor(opts: { startedAtMs: number; requestsPerSecond: number; nowMs: number; }) {
        this.startedAtMs = opts.startedAtMs;
        this.requestsPerSecond = effectiveRateOf(opts.requestsPerSecond);
        this.add(this.depth(1), { nowMs: opts.nowMs, share: 1 });
    }

    /** Rate by which requests are sent, in requests a second. */
    rate(share: number): number {
        return this.requestsPerSecond * share;
    }

    /** Applies another limit from now on. A lower one leaves at most a full bucket. */
    setLimit(requestsPerSecond: number, { nowMs, share }: MeterTime): void {
        const rate = effectiveRateOf(requestsPerSecond);
        if (rate === this.requestsPerSecond) {
            return;
        }
        const level = this.level({ nowMs, share });
        this.requestsPerSecond = rate;
        this.add(Math.min(0, this.depth(share) - level), { nowMs, share });
    }

    /** Adds requests that were sent, also if they were too many. */
    add(count: number, { nowMs, share }: MeterTime): void {
        this.bucket.take({ ratePerSecond: this.rate(share), burst: this.depth(share) }, count, nowMs);
    }

    /** Returns the number of requests for which there is room; negative if too many were sent. */
    room(time: MeterTime): number {
        return this.depth(time.share) - this.level(time);
    }

    /** Returns the largest possible room. */
    depth(share: number): number {
        return 1 + this.rate(share) * BURST_S;
    }

    private level({ nowMs, share }: MeterTime): number {
        return this.bucket.levelAt({ ratePerSecond: this.rate(share) }, nowMs);
    }
}

function effectiveRateOf(requestsPerSecond: number): number {
    return Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
}
