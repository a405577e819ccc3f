import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import type { MirrorVerification } from "@knapweedwood/fleet.view/mirrorVerification";
import { CheckSchedule } from "./checkSchedule.js";
import { MirrorAge } from "./mirrorAge.js";
import type { PrefixMirrorOptions } from "./prefixMirrorOptions.js";
import { StaleListingGuard } from "./staleListingGuard.js";

const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 800;
/** Time that the watch has to deliver a change reported by another process, in milliseconds. */
const CATCH_UP_DELAY_MS = 300;
const COMPACTED_CODE = "ERR_KNAPWEED_KEY_VALUE_COMPACTED";
/** Shortest wait of a watch call as a share of the mean. Waits vary, so that the watches of a fleet end at different times. */
const MIN_WAIT_SHARE = 0.5;
/** Age of a mirror above which it isn't current, as a multiple of the age at which it is checked. */
const STALE_AGE_FACTOR = 2;

/**
 * Mirrors the keys under a prefix: lists them once, then watches for changes. Lists them again if the service has
 * compacted the history that the watch needs.
 *
 * The connection of a watch can go silent without an error, and its mirror then looks like one of keys that don't change.
 * So the mirror records until when it is known to have every change, from its own calls and from those of other
 * processes. When that is too long ago, it asks the service over another connection.
 */
export class PrefixMirror {
    private readonly opts: PrefixMirrorOptions;
    private currentRevision = 0;
    /** Ends the current listing or watch. */
    private attemptController = new AbortController();
    private failures = 0;
    /** Watches in a row that failed without a response while the service was reachable. */
    private watchFailures = 0;
    private recoveredAtMs = Infinity;
    private readonly age: MirrorAge;
    private readonly staleListings: StaleListingGuard;
    private outageEndedAtMs = -Infinity;
    private catchUpTimer: Timer | undefined;
    private readonly currentEntries = new Map<string, KeyValueEntry>();
    private hasListed = false;
    /** Latest revision with a change under the prefix that another process has reported. */
    private reportedRevision = 0;
    /** Highest revision of a listing, a change or entries of another process that was applied. */
    private appliedRevision = 0;
    private listedAtMs = Infinity;

    constructor(opts: PrefixMirrorOptions) {
        this.opts = opts;
        this.age = new MirrorAge(opts);
        this.staleListings = new StaleListingGuard(opts);
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
     * Whether the mirror has listed the keys, its calls succeed, no process has reported a revision that it lacks, and it
     * was verified a short time ago.
     */
    get isCurrent(): boolean {
        const maxAgeMs = this.opts.maxAgeMs?.() ?? Infinity;
        return this.isReachable && this.currentRevision >= this.reportedRevision
            && this.ageMs <= maxAgeMs * STALE_AGE_FACTOR;
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
    seed(seeded: readonly KeyValueEntry[], revision: number): boolean {
        const isNewer = !this.isInitialized || revision > this.appliedRevision;
        if (this.hasListed || !isNewer || seeded.length === 0) {
            return false;
        }
        const entries = this.compact(seeded);
        this.appliedRevision = revision;
        this.replaceEntries(entries);
        this.opts.onSnapshot(entries, 0);
        return true;
    }

    /** Unix ms since which all calls succeed; infinity before the first response and while calls fail. */
    get reachableSinceMs(): number {
        return this.failures === 0 ? this.recoveredAtMs : Infinity;
    }

    /** Unix ms up to which the mirror is known to have every change; -infinity before the first listing. */
    get currentAtMs(): number {
        return this.age.verifiedAtMs;
    }

    /** Time for which nothing has shown that the mirror has every change, in milliseconds; infinity before the first listing. */
    get ageMs(): number {
        return this.age.ageMs;
    }

    /** What the service last said to this process; undefined before the first listing. */
    get verification(): MirrorVerification | undefined {
        return this.age.verification;
    }

    /** Records what the service has said to another process. It also holds for this mirror if that has the same changes. */
    recordVerification({ revision, ageMs }: MirrorVerification): void {
        if (this.currentRevision >= revision) {
            this.age.recordOfPeer(ageMs);
        }
    }

    /** Unix ms of the end of the last outage that this process has seen: infinity during one, -infinity if none. */
    get lastOutageEndedAtMs(): number {
        return this.failures === 0 ? this.outageEndedAtMs : Infinity;
    }

    /** Asks the service if the watch does not deliver `revision` within `CATCH_UP_DELAY_MS` after the pause. */
    catchUp(revision: number): void {
        this.reportedRevision = Math.max(this.reportedRevision, revision);
        if (revision <= this.currentRevision || this.catchUpTimer !== undefined) {
            return;
        }
        this.catchUpTimer = this.opts.clock.setTimer(this.coalesceMs() + CATCH_UP_DELAY_MS, () => {
            this.catchUpTimer = undefined;
            // Otherwise the keys are being listed.
            const isWatched = this.currentRevision > 0 && this.failures === 0;
            if (isWatched && revision > this.currentRevision) {
                void this.askFor(revision);
            }
        });
    }

    /**
     * Asks the service for changes that the watch should have delivered. Does nothing while the service is unreachable.
     *
     * @returns false if the service didn't answer
     */
    async check(): Promise<boolean> {
        const { signal } = this.attemptController;
        try {
            await this.applyMissedChanges();
            return true;
        }
        catch (thrown) {
            if (signal.aborted) {
                return true;
            }
            const { code } = toKnapweedError(thrown);
            this.opts.logger.info("mirror-check-failed", { prefix: this.opts.prefix, ageMs: this.ageMs, code });
            if (code === COMPACTED_CODE) {
                this.relist();
            }
            return false;
        }
    }

    /** Mirrors the prefix until `signal` is aborted. Retries after failures. */
    async run(signal: AbortSignal): Promise<void> {
        const checks = this.startChecks();
        signal.addEventListener("abort", () => {
            checks?.stop();
            this.catchUpTimer?.cancel();
            this.attemptController.abort();
        }, { once: true });
        while (!signal.aborted) {
            this.attemptController = new AbortController();
            try {
                await this.listAndWatch(this.attemptController.signal);
            }
            catch (error) {
                if (!signal.aborted && !this.attemptController.signal.aborted) {
                    await this.onFailure(error, signal);
                }
            }
        }
    }

    /** @returns undefined if the mirror isn't checked */
    private startChecks(): CheckSchedule | undefined {
        const { clock, maxAgeMs, checkDelayMs } = this.opts;
        if (maxAgeMs === undefined) {
            return undefined;
        }
        const schedule = new CheckSchedule({
            clock,
            maxAgeMs,
            delayMs: () => checkDelayMs?.() ?? 0,
            ageMs: () => this.ageMs,
            check: () => this.check(),
        });
        schedule.start();
        return schedule;
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

    /** Asks the service for the changes up to a revision, and lists the keys if it doesn't have that revision. */
    private async askFor(revision: number): Promise<void> {
        this.opts.logger.info("mirror-behind", {
            prefix: this.opts.prefix,
            revision: this.currentRevision,
            ageMs: this.ageMs,
            peerRevision: revision,
        });
        const askedAtMs = this.opts.clock.nowMs();
        await this.check();
        if (this.age.ownVerifiedAtMs >= askedAtMs && this.currentRevision < revision) {
            this.relist();
        }
    }

    private relist(): void {
        this.currentRevision = 0;
        this.attemptController.abort();
    }

    private async listAndWatch(signal: AbortSignal): Promise<void> {
        // A watch sent while the service is unresponsive hangs for its whole wait. A listing detects recovery sooner.
        if (this.currentRevision === 0 || this.failures > 0) {
            await this.list(signal);
        }
        try {
            await this.watch(signal);
        }
        catch (error) {
            await this.onWatchFailure(error, signal);
        }
    }

    private async list(signal: AbortSignal): Promise<void> {
        const sentAtMs = this.opts.clock.nowMs();
        const snapshot = await this.opts.service.snapshot(this.opts.prefix);
        if (signal.aborted) {
            return;
        }
        this.staleListings.check(snapshot.revision, this.appliedRevision);
        this.onResponse(sentAtMs);
        this.currentRevision = snapshot.revision;
        this.appliedRevision = snapshot.revision;
        this.age.recordChange(snapshot.revision);
        this.hasListed = true;
        this.listedAtMs = this.opts.clock.nowMs();
        const entries = this.compact(snapshot.entries);
        this.replaceEntries(entries);
        this.opts.onSnapshot(entries, snapshot.revision);
    }

    private async watch(signal: AbortSignal): Promise<void> {
        const { service, clock, prefix } = this.opts;
        const waitMs = this.drawWatchWaitMs();
        const opts = { afterRevision: this.currentRevision, signal, ...waitMs === undefined ? {} : { waitMs } };
        for await (const batch of service.watch(prefix, opts)) {
            if (signal.aborted) {
                return;
            }
            this.watchFailures = 0;
            this.onResponse(clock.nowMs());
            if (batch.revision >= this.currentRevision && this.apply(batch)) {
                await sleep(clock, this.coalesceMs(), signal);
            }
        }
    }

    private drawWatchWaitMs(): number | undefined {
        const meanMs = this.opts.watchWaitMs?.();
        return meanMs === undefined ? undefined : Math.round(meanMs * (MIN_WAIT_SHARE + this.opts.random.next()));
    }

    /**
     * Handles the failure of a watch. Its connection may have gone silent or been cut while the service is available, which is
     * no outage. Throws if the service doesn't answer over another connection either.
     */
    private async onWatchFailure(thrown: unknown, signal: AbortSignal): Promise<void> {
        const { code } = toKnapweedError(thrown);
        const isServiceReachable = this.opts.isServiceReachable?.() ?? true;
        if (signal.aborted || code === COMPACTED_CODE || !isServiceReachable) {
            throw thrown;
        }
        const { prefix, logger, clock } = this.opts;
        logger.info("mirror-watch-lost", { prefix, revision: this.currentRevision, ageMs: this.ageMs, code });
        this.watchFailures += 1;
        await this.applyMissedChanges();
        if (this.watchFailures > 1) {
            await sleep(clock, this.retryDelayMs(this.watchFailures), signal);
        }
    }

    /**
     * Asks the service for the changes since the last one, and watches again if there are any, since the watch should have
     * delivered them. Rejects with the error of the service.
     */
    private async applyMissedChanges(): Promise<void> {
        const { signal } = this.attemptController;
        if (this.currentRevision === 0 || !this.isReachable) {
            return;
        }
        const { clock, service, prefix, logger } = this.opts;
        const sentAtMs = clock.nowMs();
        const { ageMs } = this;
        const batch = await service.changes(prefix, { afterRevision: this.currentRevision, signal });
        if (signal.aborted) {
            return;
        }
        this.onResponse(sentAtMs);
        if (batch.revision > this.currentRevision && this.apply(batch)) {
            logger.info("mirror-caught-up", { prefix, revision: batch.revision, ageMs });
            this.attemptController.abort();
        }
        this.opts.onChecked?.();
    }

    /** Returns whether the batch contains a change. */
    private apply(batch: WatchBatch): boolean {
        this.currentRevision = batch.revision;
        this.appliedRevision = Math.max(this.appliedRevision, batch.revision);
        if (batch.puts.length === 0 && batch.deletedKeys.length === 0) {
            return false;
        }
        this.age.recordChange(batch.revision);
        const compacted = { ...batch, puts: this.compact(batch.puts) };
        this.applyToEntries(compacted);
        this.opts.onChange(compacted);
        return true;
    }

    private compact(entries: readonly KeyValueEntry[]): KeyValueEntry[] {
        const { compact } = this.opts;
        return compact === undefined ? [...entries] : entries.map(entry => compact(entry));
    }

    /** @param currentAtMs time up to which the response contains every change, Unix ms */
    private onResponse(currentAtMs: number): void {
        this.age.recordOwn(currentAtMs);
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
        await sleep(this.opts.clock, this.retryDelayMs(this.failures), signal);
    }

    /** Returns an exponential delay with jitter, so that processes don't all reconnect at the same time. */
    private retryDelayMs(failures: number): number {
        const ceilingMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** failures);
        return ceilingMs * (0.5 + this.opts.random.next() / 2);
    }
}
