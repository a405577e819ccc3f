import { DemandRate } from "./demandRate.js";
import { LeakyBucket } from "./leakyBucket.js";
import type { LimitedTeam } from "./limitedTeam.js";
import type { RateLimit } from "./rateLimit.js";

/** Time of a decision, and the share of the limits that applies then. */
interface MeterTime {
    nowMs: number;
    /** Metered time, by which the bucket drains, in milliseconds. */
    meteredMs: number;
    /** Share of the limits that this gateway may use, in (0, 1]. */
    share: number;
}

const MS_PER_SECOND = 1000;
/**
 * Room beyond the burst, in requests, in seconds of the rate and as a share of the burst. Requests that keep to the limit
 * when they are sent arrive with a jitter, and a lost report makes the bucket drain more slowly for a while.
 */
const TOLERATED_REQUESTS = 1;
const TOLERATED_RATE_S = 0.08;
const TOLERATED_BURST_SHARE = 0.05;
const IDLE_MS = 20_000;

/** Meters one team: a leaky bucket with the requests of all gateways, of this one at once and of the others as reported. */
export class TeamMeter {
    private readonly bucket = new LeakyBucket();
    private readonly ownDemand = new DemandRate();
    private readonly peerDemand = new DemandRate();
    private readonly rejected = new DemandRate();
    private limit: RateLimit;
    private usedAtMs = 0;

    constructor(limit: RateLimit) {
        this.limit = limit;
    }

    private get tolerance(): number {
        const { ratePerSecond, burst } = this.limit;
        return TOLERATED_REQUESTS + ratePerSecond * TOLERATED_RATE_S + burst * TOLERATED_BURST_SHARE;
    }

    /** Applies the limit from now on. A lowered burst leaves at most a full bucket. */
    setLimit({ requestsPerSecond, burst }: LimitedTeam, meteredMs: number): void {
        const previous = this.limit;
        if (previous.ratePerSecond === requestsPerSecond && previous.burst === Math.max(1, burst)) {
            return;
        }
        const level = this.level(meteredMs);
        this.limit = { ratePerSecond: requestsPerSecond!, burst: Math.max(1, burst) };
        if (this.limit.burst < previous.burst) {
            this.setLevel(Math.min(level, this.limit.burst), meteredMs);
        }
    }

    /** Returns the requests in the bucket. */
    level(meteredMs: number): number {
        return this.bucket.levelAt(this.limit, meteredMs);
    }

    setLevel(level: number, meteredMs: number): void {
        this.bucket.take(this.limit, level - this.level(meteredMs), meteredMs);
    }

    /** Sets the bucket to the level that it has if it was full when the metered time began. */
    fill(meteredMs: number): void {
        this.bucket.take(this.limit, this.limit.burst + this.tolerance, 0);
        this.bucket.take(this.limit, 0, meteredMs);
    }

    /** Returns the metered time in which the present level drains, in milliseconds. */
    drainMs(meteredMs: number): number {
        return this.level(meteredMs) / this.limit.ratePerSecond * MS_PER_SECOND;
    }

    /** Returns the metered time until there is room for a request, in milliseconds; 0 for now. */
    waitMs({ meteredMs, share }: MeterTime): number {
        const { ratePerSecond, burst } = this.limit;
        const depth = burst + this.tolerance;
        return this.bucket.waitMs({ ratePerSecond, burst: depth * share }, 1, meteredMs);
    }

    /** Adds a request that this gateway has admitted. */
    take({ nowMs, meteredMs }: MeterTime): void {
        this.bucket.take(this.limit, 1, meteredMs);
        this.ownDemand.add(1, nowMs);
        this.usedAtMs = nowMs;
    }

    /** Removes a request that this gateway has admitted. */
    release(meteredMs: number): void {
        this.setLevel(Math.max(0, this.level(meteredMs) - 1), meteredMs);
    }

    /** Adds the requests that a peer has admitted; a negative `change` removes some. */
    addPeerChange(change: number, { nowMs, meteredMs }: MeterTime): void {
        this.setLevel(Math.max(0, this.level(meteredMs) + change), meteredMs);
        this.peerDemand.add(Math.max(0, change), nowMs);
        this.usedAtMs = nowMs;
    }

    /**
     * Adds requests that a peer admitted while it was silent and its share was withheld from this bucket. They fill the
     * bucket at most.
     */
    addOldPeerChange(change: number, meteredMs: number): void {
        const level = this.level(meteredMs);
        const depth = this.limit.burst + this.tolerance;
        this.setLevel(
            Math.max(0, change < 0 ? level + change : Math.max(level, Math.min(level + change, depth))),
            meteredMs,
        );
    }

    /**
     * Records a rejection and returns the time until there is room for its caller, in milliseconds. Callers rejected
     * within the last second are ahead of it, also those at peers, estimated by the peers' share of the requests.
     */
    reject(waitMs: number, { nowMs, share }: MeterTime): number {
        const own = this.ownDemand.valueAt(nowMs);
        const peersPerOwn = own < 1 ? 0 : this.peerDemand.valueAt(nowMs) / own;
        const ahead = this.rejected.valueAt(nowMs) * (1 + peersPerOwn);
        this.rejected.add(1, nowMs);
        this.usedAtMs = nowMs;
        return (waitMs + ahead / this.limit.ratePerSecond * MS_PER_SECOND) / share;
    }

    /** Returns whether the meter is empty and has been unused for long, so that a new one can replace it. */
    isIdle(nowMs: number, meteredMs: number): boolean {
        return nowMs >= this.usedAtMs + IDLE_MS && this.level(meteredMs) === 0;
    }
}
