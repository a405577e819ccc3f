/** Time for which a success is remembered at least, in milliseconds. */
const RETENTION_MS = 60_000;
/** Number of keys after which older ones are dropped early. */
const MAX_KEYS = 20_000;

/** The keys of recent successes, in two generations: the older one is dropped as a whole. */
export class RecentSuccesses {
    private recent = new Set<string>();
    private older = new Set<string>();
    private rotatedAtMs = -Infinity;

    add(key: string, nowMs: number): void {
        if (nowMs >= this.rotatedAtMs + RETENTION_MS || this.recent.size >= MAX_KEYS) {
            this.rotatedAtMs = nowMs;
            this.older = this.recent;
            this.recent = new Set();
        }
        this.recent.add(key);
    }

    has(key: string): boolean {
        return this.recent.has(key) || this.older.has(key);
    }
}
