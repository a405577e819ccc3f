import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueCounters } from "@knapweedwood/core.key-value/keyValueCounters";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import type { KeyValueSnapshot } from "@knapweedwood/core.key-value/keyValueSnapshot";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import { unavailableError } from "@knapweedwood/core.key-value/unavailableError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { setMaxListeners } from "node:events";
import { ChangeHistory } from "./changeHistory.js";
import { KeyValueFaults } from "./keyValueFaults.js";
import { KeyValueStore } from "./keyValueStore.js";
import { KeyValueWatcher } from "./keyValueWatcher.js";

/** An in-memory key-value service that can inject the faults of a real one. */
export class MemoryKeyValueService implements SnapshotKeyValueService {
    readonly faults = new KeyValueFaults({
        onOutage: () => this.failWatches(),
        onExpireLease: leaseId => this.store.endLease(leaseId),
    });
    /** Numbers of calls so far, including rejected ones, and number of active watches. */
    readonly counters: KeyValueCounters = { reads: 0, writes: 0, keepAlives: 0, watches: 0, activeWatches: 0 };
    private readonly clock: Clock;
    private readonly store: KeyValueStore;
    private readonly history = new ChangeHistory();
    private readonly closing = new AbortController();
    private readonly watchers = new Set<KeyValueWatcher>();

    constructor(opts: { clock: Clock; }) {
        this.clock = opts.clock;
        // Each delayed call adds a listener, and there can be many delayed calls at the same time.
        setMaxListeners(0, this.closing.signal);
        this.store = new KeyValueStore({ clock: opts.clock, onChange: batch => this.publish(batch) });
    }

    /** Revision of the latest change. */
    get revision(): number {
        return this.store.revision;
    }

    get(key: string): Promise<KeyValueEntry | undefined> {
        this.counters.reads += 1;
        return this.read(() => this.store.get(key));
    }

    list(prefix: string, opts: { limit?: number; afterKey?: string; } = {}): Promise<KeyValueEntry[]> {
        this.counters.reads += 1;
        return this.read(() => this.store.list(prefix, opts));
    }

    snapshot(prefix: string): Promise<KeyValueSnapshot> {
        this.counters.reads += 1;
        return this.read(() => ({ entries: this.store.list(prefix, {}), revision: this.store.revision }));
    }

    changes(prefix: string, opts: { afterRevision: number; }): Promise<WatchBatch> {
        this.counters.reads += 1;
        return this.read(() => this.changesAfter(prefix, opts.afterRevision));
    }

    transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult> {
        this.counters.writes += 1;
        return this.write(() => this.store.transact(compares, operations));
    }

    grantLease(ttlMs: number): Promise<string> {
        this.counters.writes += 1;
        return this.write(() => this.store.grantLease(ttlMs));
    }

    keepLeaseAlive(leaseId: string): Promise<number> {
        this.counters.keepAlives += 1;
        return this.read(() => this.store.keepLeaseAlive(leaseId));
    }

    revokeLease(leaseId: string): Promise<void> {
        this.counters.writes += 1;
        return this.write(() => this.store.endLease(leaseId));
    }

    async *watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        this.counters.watches += 1;
        await this.beginCall();
        const watcher = this.openWatcher(prefix, opts.afterRevision);
        const endWatcher = () => watcher.end();
        opts.signal.addEventListener("abort", endWatcher, { once: true });
        if (opts.signal.aborted) {
            watcher.end();
        }
        this.counters.activeWatches += 1;
        try {
            yield* watcher.batches();
        }
        finally {
            this.counters.activeWatches -= 1;
            opts.signal.removeEventListener("abort", endWatcher);
            this.watchers.delete(watcher);
        }
    }

    /**
     * Drops the history and makes all watches fail. Later watches from an earlier revision reject with
     * `KEY_VALUE_COMPACTED`.
     */
    compact(): void {
        this.history.clear();
        this.failWatches();
    }

    /** Cancels the timers of leases and delays, and ends all watches without an error. */
    close(): void {
        this.closing.abort();
        this.store.close();
        this.watchers.forEach(watcher => watcher.end());
    }

    private assertStoredAfter(revision: number): void {
        if (!this.history.isCompleteAfter(revision)) {
            throw new KnapweedError("KEY_VALUE_COMPACTED", `Changes after revision ${revision} are no longer stored.`, {
                hint: "List the keys and watch from the revision of the newest entry.",
            });
        }
    }

    /** Returns the changes under `prefix` after a revision; of a key with several changes only the last one. */
    private changesAfter(prefix: string, afterRevision: number): WatchBatch {
        this.assertStoredAfter(afterRevision);
        const last = new Map<string, KeyValueEntry | undefined>();
        this.history.after(afterRevision).forEach(({ puts, deletedKeys }) => {
            deletedKeys.filter(key => key.startsWith(prefix)).forEach(key => last.set(key, undefined));
            puts.filter(({ key }) => key.startsWith(prefix)).forEach(entry => last.set(entry.key, entry));
        });
        return {
            revision: Math.max(afterRevision, this.store.revision),
            puts: [...last.values()].flatMap(entry => entry ?? []),
            deletedKeys: [...last.keys()].filter(key => last.get(key) === undefined),
        };
    }

    private openWatcher(prefix: string, afterRevision: number): KeyValueWatcher {
        this.assertStoredAfter(afterRevision);
        const watcher = new KeyValueWatcher(prefix);
        this.history.after(afterRevision).forEach(batch => watcher.push(batch));
        this.watchers.add(watcher);
        return watcher;
    }

    private async read<Value>(action: () => Value): Promise<Value> {
        await this.beginCall();
        const value = action();
        await this.delayResponse();
        return value;
    }

    private async write<Value>(action: () => Value): Promise<Value> {
        await this.beginCall();
        const value = action();
        if (this.faults.consumeLostResponse()) {
            throw answerLostError("The response of the key-value service was lost.");
        }
        await this.delayResponse();
        return value;
    }

    private async beginCall(): Promise<void> {
        if (this.faults.delayMs > 0) {
            await sleep(this.clock, this.faults.delayMs, this.closing.signal);
        }
        if (this.faults.outage) {
            throw unavailableError("The key-value service is unavailable.");
        }
    }

    private async delayResponse(): Promise<void> {
        if (this.faults.responseDelayMs > 0) {
            await sleep(this.clock, this.faults.responseDelayMs, this.closing.signal);
        }
    }

    private publish(batch: WatchBatch): void {
        this.history.push(batch);
        this.watchers.forEach(watcher => watcher.push(batch));
    }

    private failWatches(): void {
        this.watchers.forEach(watcher => watcher.fail(unavailableError("The watch was lost.")));
    }
}
