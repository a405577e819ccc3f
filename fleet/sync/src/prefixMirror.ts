import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { PrefixMirrorOptions } from "./prefixMirrorOptions.js";

const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 800;
/** Time that the watch has to deliver a change reported by another process, in milliseconds. */
const CATCH_UP_DELAY_MS = 300;
/**
 * Time for which listings of a lower revision than the known one are refused, in milliseconds. They come from a replica
 * that lags behind; a service restored from a backup returns them permanently.
 */
const STALE_LISTING_REFUSAL_MS = 30_000;
const COMPACTED_CODE = "ERR_KNAPWEED_KEY_VALUE_COMPACTED";

/**
 * Mirrors the keys under a prefix: lists them once, then watches for changes. Lists them again if the service has
 * compacted the history that the watch needs.
 */
export class PrefixMirror {
    private readonly opts: PrefixMirrorOptions;
    private currentRevision = 0;
    private relistController = new AbortController();
    private failures = 0;
    private recoveredAtMs = Infinity;
    private respondedAtMs = -Infinity;
    private outageEndedAtMs = -Infinity;
    private catchUpTimer: Timer | undefined;
    private readonly currentEntries = new Map<string, KeyValueEntry>();
    private hasListed = false;
    /** Latest revision with a change under the prefix that another process has reported. */
    private reportedRevision = 0;
    /** Highest revision of a listing, a change or entries of another process that was applied. */
    private appliedRevision = 0;
    private staleSinceMs: number | undefined;
    private listedAtMs = Infinity;

    constructor(opts: PrefixMirrorOptions) {
        this.opts = opts;
    }

    get prefix(): string {
        return this.opts.prefix;
    }

    /** Revision of the service up to which the mirror is current; 0 before the first listing. */
    get revision(): number {
        return this.currentRevision;
    }

    /** Revision up to which the entries are known, listed or from another process; 0 before the first. */
    get knownRevision(): number {
        return this.appliedRevision;
    }

    /** Whether the service has answered a listing. */
    get isListed(): boolean {
        return this.hasListed;
    }

    /** Whether the service has answered a listing and no call has failed since its last response. */
    get isReachable(): boolean {
        return this.hasListed && this.failures === 0;
    }

    /** Latest revision with a change under the prefix that another process has reported; 0 before the first. */
    get peersRevision(): number {
        return this.reportedRevision;
    }

    /**
     * Unix ms since which the mirror has received every change: the time of the last listing, as changes between two
     * listings may have been missed. Infinity while calls fail or a change reported by a peer is missing.
     */
    get gaplessSinceMs(): number {
        return this.isCurrent ? this.listedAtMs : Infinity;
    }

    /** Whether the mirror has entries, listed or from a snapshot. */
    get isInitialized(): boolean {
        return this.hasListed || this.currentEntries.size > 0;
    }

    /**
     * Whether the mirror has listed the keys, its calls succeed, and no process has reported a revision that it lacks. A
     * service that has just become unresponsive is noticed only when a call fails.
     */
    get isCurrent(): boolean {
        return this.isReachable && this.currentRevision >= this.reportedRevision;
    }

    /** Whether a process has reported a change that the mirror lacks. */
    get lacksReportedChange(): boolean {
        return this.currentRevision < this.reportedRevision;
    }

    /** The mirrored entries if the mirror keeps them, shape [entries]. */
    entries(): KeyValueEntry[] {
        return [...this.currentEntries.values()];
    }

    /** Returns the mirrored entry of a key if the mirror keeps entries; undefined if there is none. */
    entry(key: string): KeyValueEntry | undefined {
        return this.currentEntries.get(key);
    }

    /**
     * Uses entries of another process until the first listing, unless newer ones are known. Does nothing after it.
     *
     * @param revision revision up to which the other process knew the entries
     * @returns whether the entries are used
     */
    seed(entries: readonly KeyValueEntry[], revision: number): boolean {
        const isNewer = !this.isInitialized || revision > this.appliedRevision;
        if (this.hasListed || !isNewer || entries.length === 0) {
            return false;
        }
        this.appliedRevision = revision;
        this.replaceEntries(entries);
        this.opts.onSnapshot([...entries], 0);
        return true;
    }

    /** Unix ms since which all calls succeed; infinity before the first response and while calls fail. */
    get reachableSinceMs(): number {
        return this.failures === 0 ? this.recoveredAtMs : Infinity;
    }

    /** Unix ms of the last response of the service, up to which the mirror is current; -infinity before the first. */
    get currentAtMs(): number {
        return this.respondedAtMs;
    }

    /** Time since the last response of the service, in milliseconds; infinity before the first. */
    get ageMs(): number {
        return this.opts.clock.nowMs() - this.respondedAtMs;
    }

    /** Unix ms of the end of the last outage that this process has seen: infinity during one, -infinity if none. */
    get lastOutageEndedAtMs(): number {
        return this.failures === 0 ? this.outageEndedAtMs : Infinity;
    }

    /** Lists the prefix again if the watch does not deliver `revision` within `CATCH_UP_DELAY_MS` after the pause. */
    catchUp(revision: number): void {
        this.reportedRevision = Math.max(this.reportedRevision, revision);
        if (revision <= this.currentRevision || this.catchUpTimer !== undefined) {
            return;
        }
        this.catchUpTimer = this.opts.clock.setTimer(this.coalesceMs() + CATCH_UP_DELAY_MS, () => {
            this.catchUpTimer = undefined;
            if (this.currentRevision > 0 && revision > this.currentRevision) {
                this.relist(revision);
            }
        });
    }

    /** Mirrors the prefix until `signal` is aborted. Retries after failures. */
    async run(signal: AbortSignal): Promise<void> {
        signal.addEventListener("abort", () => {
            this.catchUpTimer?.cancel();
            this.relistController.abort();
        }, { once: true });
        while (!signal.aborted) {
            this.relistController = new AbortController();
            try {
                await this.listAndWatch(this.relistController.signal);
            }
            catch (error) {
                if (!signal.aborted && !this.relistController.signal.aborted) {
                    await this.onFailure(error, signal);
                }
            }
        }
    }

    private replaceEntries(entries: readonly KeyValueEntry[]): void {
        this.currentEntries.clear();
        this.applyToEntries({ puts: entries, deletedKeys: [] });
    }

    private applyToEntries(change: { puts: readonly KeyValueEntry[]; deletedKeys: readonly string[]; }): void {
        if (this.opts.keepsEntries === true) {
            change.deletedKeys.forEach(key => this.currentEntries.delete(key));
            change.puts.forEach(entry => this.currentEntries.set(entry.key, entry));
        }
    }

    private coalesceMs(): number {
        return this.opts.coalesceMs?.() ?? 0;
    }

    private relist(peerRevision: number): void {
        this.opts.logger.info("mirror-behind", {
            prefix: this.opts.prefix,
            revision: this.currentRevision,
            ageMs: this.ageMs,
            peerRevision,
        });
        this.currentRevision = 0;
        this.relistController.abort();
    }

    private async listAndWatch(signal: AbortSignal): Promise<void> {
        // A watch sent while the service is unresponsive hangs for its whole wait. A listing detects recovery sooner.
        if (this.currentRevision === 0 || this.failures > 0) {
            const snapshot = await this.opts.service.snapshot(this.opts.prefix);
            if (signal.aborted) {
                return;
            }
            this.refuseIfStale(snapshot.revision);
            this.onResponse();
            this.currentRevision = snapshot.revision;
            this.appliedRevision = snapshot.revision;
            this.hasListed = true;
            this.listedAtMs = this.opts.clock.nowMs();
            this.replaceEntries(snapshot.entries);
            this.opts.onSnapshot(snapshot.entries, snapshot.revision);
        }
        const { service, clock, prefix, watchWaitMs } = this.opts;
        const waitMs = watchWaitMs?.();
        const opts = { afterRevision: this.currentRevision, signal, ...waitMs === undefined ? {} : { waitMs } };
        for await (const batch of service.watch(prefix, opts)) {
            if (signal.aborted) {
                return;
            }
            this.onResponse();
            this.currentRevision = Math.max(this.currentRevision, batch.revision);
            this.appliedRevision = Math.max(this.appliedRevision, batch.revision);
            this.applyToEntries(batch);
            if (batch.puts.length > 0 || batch.deletedKeys.length > 0) {
                this.opts.onChange(batch);
                await sleep(clock, this.coalesceMs(), signal);
            }
        }
    }

    /** Throws if a listing would bring back a state older than the known one. */
    private refuseIfStale(revision: number): void {
        const nowMs = this.opts.clock.nowMs();
        if (revision >= this.appliedRevision) {
            this.staleSinceMs = undefined;
            return;
        }
        this.staleSinceMs ??= nowMs;
        if (nowMs - this.staleSinceMs < STALE_LISTING_REFUSAL_MS) {
            throw new KnapweedError(
                "KEY_VALUE_STALE",
                `The listing is of revision ${revision}, ${this.appliedRevision} is known`,
                { outcome: "not-run" },
            );
        }
    }

    private onResponse(): void {
        this.respondedAtMs = this.opts.clock.nowMs();
        if (this.failures === 0) {
            this.recoveredAtMs = Math.min(this.recoveredAtMs, this.opts.clock.nowMs());
            return;
        }
        this.recoveredAtMs = this.opts.clock.nowMs();
        this.outageEndedAtMs = this.recoveredAtMs;
        this.opts.logger.info("key-value-regained", { prefix: this.opts.prefix, failures: this.failures });
        this.failures = 0;
        this.opts.onRecovered?.();
    }

    private async onFailure(thrown: unknown, signal: AbortSignal): Promise<void> {
        const error = toKnapweedError(thrown);
        if (error.code === COMPACTED_CODE) {
            this.opts.logger.info("mirror-compacted", { prefix: this.opts.prefix, revision: this.currentRevision });
            this.currentRevision = 0;
            return;
        }
        this.failures += 1;
        if (this.failures === 1) {
            this.opts.logger.warn("key-value-lost", {
                prefix: this.opts.prefix,
                revision: this.currentRevision,
                ageMs: this.ageMs,
                code: error.code,
                message: error.message,
            });
        }
        await sleep(this.opts.clock, this.retryDelayMs(), signal);
    }

    /** Returns an exponential delay with jitter, so that processes don't all reconnect at the same time. */
    private retryDelayMs(): number {
        const ceilingMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** this.failures);
        return ceilingMs * (0.5 + this.opts.random.next() / 2);
    }
}
