import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";

/**
 * Reports the entries of upstreams that can't be read: one line when an entry becomes unreadable and one when it can be read
 * again, and a counter of all readings between. Upstreams write their entries again every second or so.
 */
export class UnreadableEntries {
    private readonly logger: Logger;
    private readonly metrics: Metrics;
    /** Numbers of failed readings by the keys of the unreadable entries. */
    private readonly failures = new Map<string, number>();

    constructor(opts: { logger: Logger; metrics: Metrics; }) {
        this.logger = opts.logger;
        this.metrics = opts.metrics;
    }

    onFailure(key: string, failure: { sizeBytes: number; message: string; }): void {
        this.metrics.increment("upstream_entries_unreadable_total");
        const count = this.failures.get(key) ?? 0;
        this.failures.set(key, count + 1);
        if (count === 0) {
            this.logger.warn("upstream-unreadable", { key, ...failure });
        }
    }

    onRead(key: string): void {
        const failures = this.failures.get(key);
        if (failures !== undefined) {
            this.failures.delete(key);
            this.logger.info("upstream-readable", { key, failures });
        }
    }

    /** Forgets an entry that was deleted. */
    forget(key: string): void {
        this.failures.delete(key);
    }

    /** Forgets all entries but the listed ones. */
    retain(listed: ReadonlySet<string>): void {
        [...this.failures.keys()].filter(key => !listed.has(key)).forEach(key => this.forget(key));
    }
}
