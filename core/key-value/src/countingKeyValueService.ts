import type { KeyValueCompare } from "./keyValueCompare.js";
import type { KeyValueCounters } from "./keyValueCounters.js";
import type { KeyValueEntry } from "./keyValueEntry.js";
import type { KeyValueOperation } from "./keyValueOperation.js";
import type { KeyValueService } from "./keyValueService.js";
import type { TransactionResult } from "./transactionResult.js";
import type { WatchBatch } from "./watchBatch.js";

/** A key-value service that counts a process's calls to `service`, to which it passes them on. */
export class CountingKeyValueService implements KeyValueService {
    readonly counters: KeyValueCounters = { reads: 0, writes: 0, keepAlives: 0, watches: 0, activeWatches: 0 };
    private readonly service: KeyValueService;

    constructor(service: KeyValueService) {
        this.service = service;
    }

    get(key: string): Promise<KeyValueEntry | undefined> {
        this.counters.reads += 1;
        return this.service.get(key);
    }

    list(prefix: string, opts?: { limit?: number; afterKey?: string; }): Promise<KeyValueEntry[]> {
        this.counters.reads += 1;
        return this.service.list(prefix, opts);
    }

    transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult> {
        this.counters.writes += 1;
        return this.service.transact(compares, operations);
    }

    grantLease(ttlMs: number): Promise<string> {
        this.counters.writes += 1;
        return this.service.grantLease(ttlMs);
    }

    keepLeaseAlive(leaseId: string): Promise<number> {
        this.counters.keepAlives += 1;
        return this.service.keepLeaseAlive(leaseId);
    }

    revokeLease(leaseId: string): Promise<void> {
        this.counters.writes += 1;
        return this.service.revokeLease(leaseId);
    }

    async *watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }): AsyncIterable<WatchBatch> {
        this.counters.watches += 1;
        this.counters.activeWatches += 1;
        try {
            yield* this.service.watch(prefix, opts);
        }
        finally {
            this.counters.activeWatches -= 1;
        }
    }
}
