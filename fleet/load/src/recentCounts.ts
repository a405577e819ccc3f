/** Time after which an event counts 1/e, in milliseconds. */
const DECAY_MS = 2000;
/** Time after which the counts are rescaled, so that they stay within the range of numbers. */
const MAX_SCALED_MS = 100 * DECAY_MS;
const NEGLIGIBLE_COUNT = 0.01;

/** Counts recent events by key. Older events count exponentially less. */
export class RecentCounts<Key> {
    /** Each event counts as much as it would if `scaledAtMs` were the present, so that no count has to decay by itself. */
    private readonly counts = new Map<Key, number>();
    private total = 0;
    private scaledAtMs = 0;

    add(key: Key, nowMs: number): void {
        if (nowMs - this.scaledAtMs > MAX_SCALED_MS) {
            this.scaleTo(nowMs);
        }
        const size = Math.exp((nowMs - this.scaledAtMs) / DECAY_MS);
        this.counts.set(key, (this.counts.get(key) ?? 0) + size);
        this.total += size;
    }

    /** Returns the number of recent events that have the key. */
    countOf(key: Key, nowMs: number): number {
        return (this.counts.get(key) ?? 0) * this.decayAt(nowMs);
    }

    /** Returns the share of the recent events that have the key; 0 if there were none. */
    shareOf(key: Key): number {
        return this.total === 0 ? 0 : (this.counts.get(key) ?? 0) / this.total;
    }

    /** Returns the keys with at least `minCount` recent events, shape [keys]. */
    keys(minCount: number, nowMs: number): Key[] {
        const minScaled = minCount / this.decayAt(nowMs);
        return [...this.counts].filter(([, count]) => count >= minScaled).map(([key]) => key);
    }

    private decayAt(nowMs: number): number {
        return Math.exp((this.scaledAtMs - nowMs) / DECAY_MS);
    }

    /** Scales all counts to the present and drops negligible ones. */
    private scaleTo(nowMs: number): void {
        const decay = this.decayAt(nowMs);
        this.total = 0;
        [...this.counts].forEach(([key, count]) => {
            this.counts.set(key, count * decay);
            this.total += count * decay;
            if (count * decay < NEGLIGIBLE_COUNT) {
                this.counts.delete(key);
            }
        });
        this.scaledAtMs = nowMs;
    }
}
