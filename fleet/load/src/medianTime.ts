import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { DecayedMean } from "./decayedMean.js";

/** Decay of the samples of an upstream, in milliseconds. Long, since some upstreams get few requests. */
const MEAN_DECAY_MS = 20_000;
/** Time for which a computed median is used, in milliseconds. */
const MEDIAN_VALID_MS = 100;

/**
 * Median over upstreams of the mean time that each takes. Each upstream counts once, however many requests it gets.
 * A mean over requests would depend on the placement, which prefers fast upstreams, and all speeds would drift.
 */
export class MedianTime {
    private readonly means = new Map<UpstreamId, DecayedMean>();
    private median = 0;
    private computedAtMs = -Infinity;

    /** Adds times of an upstream, in milliseconds. */
    add(id: UpstreamId, timeMs: number, weight: number, nowMs: number): void {
        const known = this.means.get(id);
        const mean = known ?? new DecayedMean({ decayMs: MEAN_DECAY_MS });
        mean.add(timeMs, weight, nowMs);
        if (known === undefined) {
            this.means.set(id, mean);
            this.computedAtMs = -Infinity;
        }
    }

    /** Removes an upstream. */
    forget(id: UpstreamId): void {
        this.means.delete(id);
        this.computedAtMs = -Infinity;
    }

    /** Returns the median in milliseconds; 0 without upstreams. */
    valueMs(nowMs: number): number {
        if (nowMs >= this.computedAtMs + MEDIAN_VALID_MS || this.median === 0) {
            this.median = medianOf([...this.means.values()].map(mean => mean.value));
            this.computedAtMs = nowMs;
        }
        return this.median;
    }
}

function medianOf(values: number[]): number {
    const sorted = values.sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2;
}
