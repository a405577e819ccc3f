/** Time after which an event counts 1/e, in milliseconds. */
const DECAY_MS = 2000;
/** Number of entries from which those that hardly count are dropped. */
const MIN_PURGED_ENTRIES = 64;
const NEGLIGIBLE_COUNT = 0.01;

interface DecayingCount {
    count: number;
    atMs: number;
}

/** Counts recent events by key. Older events count exponentially less. */
export class RecentCounts<Key> {
    private readonly counts = new Map<Key, DecayingCount>();
    private total: DecayingCount = { count: 0, atMs: 0 };
    private purgeSize = MIN_PURGED_ENTRIES;

    add(key: Key, nowMs: number): void {
        this.counts.set(key, { count: decayed(this.counts.get(key), nowMs) + 1, atMs: nowMs });
        this.total = { count: decayed(this.total, nowMs) + 1, atMs: nowMs };
        this.purge(nowMs);
    }

    /** Returns the number of recent events that have the key. */
    countOf(key: Key, nowMs: number): number {
        return decayed(this.counts.get(key), nowMs);
    }

    /** Returns the share of the recent events that have the key; 0 if there were none. */
    shareOf(key: Key, nowMs: number): number {
        const total = decayed(this.total, nowMs);
        return total < NEGLIGIBLE_COUNT ? 0 : this.countOf(key, nowMs) / total;
    }

    /** Returns the keys of recent events, shape [keys]. */
    keys(): Key[] {
        return [...this.counts.keys()];
    }

    /** Drops keys without recent events whenever the number of keys has doubled. */
    private purge(nowMs: number): void {
        if (this.counts.size < this.purgeSize) {
            return;
        }
        [...this.counts]
            .filter(([, count]) => decayed(count, nowMs) < NEGLIGIBLE_COUNT)
            .forEach(([key]) => this.counts.delete(key));
        this.purgeSize = Math.max(MIN_PURGED_ENTRIES, 2 * this.counts.size);
    }
}

function decayed(count: DecayingCount | undefined, nowMs: number): number {
    return count === undefined ? 0 : count.count * Math.exp((count.atMs - nowMs) / DECAY_MS);
}
