import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import { MAX_VALUE_SIZE_BYTES } from "@knapweedwood/core.key-value/maxValueSizeBytes";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { LeaseTable } from "./leaseTable.js";
import { SortedKeys } from "./sortedKeys.js";

/** Entries, leases and one revision counter, without faults. Each method takes effect synchronously. */
export class KeyValueStore {
    private readonly leases: LeaseTable;
    private readonly onChange: (batch: WatchBatch) => void;
    private readonly entries = new Map<string, KeyValueEntry>();
    private readonly keys = new SortedKeys();
    private currentRevision = 1;

    /** @param opts.onChange called after each change, with all keys that changed in the same revision */
    constructor(opts: { clock: Clock; onChange: (batch: WatchBatch) => void; }) {
        this.leases = new LeaseTable({ clock: opts.clock, onEnd: keys => this.deleteKeys(keys) });
        this.onChange = opts.onChange;
    }

    get revision(): number {
        return this.currentRevision;
    }

    get(key: string): KeyValueEntry | undefined {
        return this.entries.get(key);
    }

    /**
     * Returns the entries whose keys start with `prefix` and come after `afterKey`, sorted by key.
     *
     * @returns the entries, shape [at most limit]
     */
    list(prefix: string, opts: { limit?: number; afterKey?: string; }): KeyValueEntry[] {
        return this.keys
            .withPrefix(prefix, { limit: opts.limit ?? Infinity, afterKey: opts.afterKey })
            .flatMap(key => this.entries.get(key) ?? []);
    }

    /**
     * Applies the operations if all comparisons hold. Throws `KEY_VALUE_DUPLICATE_KEY`, `KEY_VALUE_VALUE_TOO_LARGE` or
     * `KEY_VALUE_LEASE_NOT_FOUND` with outcome `not-run` if the operations are invalid.
     */
    transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): TransactionResult {
        this.check(operations);
        const isMatch = compares.every(compare => this.modRevisionOf(compare.key) === compare.modRevision);
        if (!isMatch) {
            const current = compares.flatMap(compare => this.entries.get(compare.key) ?? []);
            return { succeeded: false, revision: this.currentRevision, current };
        }
        this.apply(operations);
        return { succeeded: true, revision: this.currentRevision, current: [] };
    }

    /** @returns the id of the lease */
    grantLease(ttlMs: number): string {
        return this.leases.grant(ttlMs);
    }

    /**
     * Renews a lease.
     *
     * @returns the remaining time to live in milliseconds, or 0 if the lease has ended
     */
    keepLeaseAlive(leaseId: string): number {
        return this.leases.keepAlive(leaseId);
    }

    /** Ends a lease and deletes its keys. Has no effect if the lease has ended already. */
    endLease(leaseId: string): void {
        this.leases.end(leaseId);
    }

    /** Cancels the timers of all leases and drops the leases. Their keys stay. */
    close(): void {
        this.leases.close();
    }

    private modRevisionOf(key: string): number {
        return this.entries.get(key)?.modRevision ?? 0;
    }

    private check(operations: KeyValueOperation[]): void {
        if (new Set(operations.map(operation => operation.key)).size < operations.length) {
            throw new KnapweedError("KEY_VALUE_DUPLICATE_KEY", "A transaction changes the same key more than once.", {
                outcome: "not-run",
            });
        }
        operations.forEach(operation => {
            if (operation.kind === "put") {
                this.checkPut(operation.value, operation.leaseId);
            }
        });
    }

    private checkPut(value: Uint8Array, leaseId: string | undefined): void {
        if (value.byteLength > MAX_VALUE_SIZE_BYTES) {
            throw new KnapweedError(
                "KEY_VALUE_VALUE_TOO_LARGE",
                `A value of ${value.byteLength} bytes is over the limit of ${MAX_VALUE_SIZE_BYTES} bytes.`,
                { outcome: "not-run" },
            );
        }
        if (leaseId !== undefined && !this.leases.has(leaseId)) {
            throw new KnapweedError("KEY_VALUE_LEASE_NOT_FOUND", `Lease ${leaseId} does not exist or has expired.`, {
                outcome: "not-run",
            });
        }
    }

    private apply(operations: KeyValueOperation[]): void {
        const effective = operations.filter(operation => operation.kind === "put" || this.entries.has(operation.key));
        if (effective.length === 0) {
            return;
        }
        this.currentRevision += 1;
        const batch: WatchBatch = { revision: this.currentRevision, puts: [], deletedKeys: [] };
        effective.forEach(operation => {
            if (operation.kind === "put") {
                batch.puts.push(this.put(operation.key, operation.value, operation.leaseId));
            }
            else {
                this.remove(operation.key);
                batch.deletedKeys.push(operation.key);
            }
        });
        this.onChange(batch);
    }

    private deleteKeys(keys: string[]): void {
        this.apply(keys.map(key => ({ kind: "delete", key })));
    }

    private put(key: string, value: Uint8Array, leaseId: string | undefined): KeyValueEntry {
        this.detach(key);
        const entry: KeyValueEntry = { key, value: value.slice(), modRevision: this.currentRevision, leaseId };
        this.entries.set(key, entry);
        this.keys.add(key);
        if (leaseId !== undefined) {
            this.leases.attach(leaseId, key);
        }
        return entry;
    }

    private remove(key: string): void {
        this.detach(key);
        this.entries.delete(key);
        this.keys.remove(key);
    }

    private detach(key: string): void {
        const leaseId = this.entries.get(key)?.leaseId;
        if (leaseId !== undefined) {
            this.leases.detach(leaseId, key);
        }
    }
}
