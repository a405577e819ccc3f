import { DecayedMean } from "./decayedMean.js";

/** Decay of samples, in milliseconds. Short, since a slowdown may last only a part of a second. */
const RECENT_DECAY_MS = 150;
/** Weight of the lasting speed relative to the recent samples, in samples. A single outlier moves the belief little. */
const LASTING_WEIGHT = 3;
/** Time in which the lasting speed follows the recent one, in milliseconds. */
const LASTING_FOLLOW_MS = 2500;
/** Time in which the lasting speed returns to the service's mean without samples, in milliseconds. */
const LASTING_FORGET_MS = 10_000;
/** Longest time between two samples of an upstream that is in use, in milliseconds. */
const MAX_SAMPLE_GAP_MS = 250;

/**
 * The belief about the speed of one process of an upstream. Follows samples at once. Without them it returns first to the
 * speed of the last seconds, since most slowdowns are short, then to the service's mean.
 */
export class SpeedBelief {
    /** Start of the upstream's process, Unix ms; undefined if only peers have reported it. */
    startedAtMs: number | undefined;
    /** Time of the newest sample, in milliseconds. */
    sampledAtMs = -Infinity;
    private readonly own = new DecayedMean({ decayMs: RECENT_DECAY_MS });
    private readonly all = new DecayedMean({ decayMs: RECENT_DECAY_MS });
    private lasting = 1;

    constructor(startedAtMs: number | undefined) {
        this.startedAtMs = startedAtMs;
    }

    addOwn(slowness: number, weight: number, nowMs: number): void {
        this.own.add(slowness, weight, nowMs);
        this.add(slowness, weight, nowMs);
    }

    addOfPeer(slowness: number, weight: number, nowMs: number): void {
        this.add(slowness, weight, nowMs);
    }

    /** Returns the slowness that this process has observed itself; undefined with too little weight of samples. */
    ownSlowness(minWeight: number, nowMs: number): number | undefined {
        return evidenceOf(this.own, nowMs) < minWeight ? undefined : this.own.value;
    }

    /** Returns the slowness that a request meets now. */
    slowness(nowMs: number): number {
        return this.recentOver(this.lastingSlowness(nowMs), nowMs);
    }

    /** Returns the slowness over some seconds. */
    lastingSlowness(nowMs: number): number {
        const idleMs = Math.max(0, nowMs - this.sampledAtMs - MAX_SAMPLE_GAP_MS);
        return idleMs === 0 ? this.lasting : 1 + (this.lasting - 1) * Math.exp(-idleMs / LASTING_FORGET_MS);
    }

    private add(slowness: number, weight: number, nowMs: number): void {
        const elapsedMs = Math.min(MAX_SAMPLE_GAP_MS, nowMs - this.sampledAtMs);
        const lasting = this.lastingSlowness(nowMs);
        this.all.add(slowness, weight, nowMs);
        const followed = 1 - Math.exp(-elapsedMs / LASTING_FOLLOW_MS);
        this.lasting = lasting + (this.recentOver(lasting, nowMs) - lasting) * followed;
        this.sampledAtMs = nowMs;
    }

    private recentOver(lasting: number, nowMs: number): number {
        const weight = evidenceOf(this.all, nowMs);
        return (lasting * LASTING_WEIGHT + this.all.value * weight) / (LASTING_WEIGHT + weight);
    }
}

/**
 * Returns the weight of samples by the time that they cover, in events at the service's mean. A slow upstream sends few
 * events, each of which covers a long time.
 */
function evidenceOf(samples: DecayedMean, nowMs: number): number {
    return samples.weightAt(nowMs) * Math.max(1, samples.value);
}
