import type { KeyValueCompare } from "./keyValueCompare.js";
import type { KeyValueEntry } from "./keyValueEntry.js";
import type { KeyValueOperation } from "./keyValueOperation.js";
import type { TransactionResult } from "./transactionResult.js";
import type { WatchBatch } from "./watchBatch.js";

/**
 * The platform's key-value service. Each method makes one call, which the service counts.
 *
 * Methods reject with a KnapweedError: `KEY_VALUE_UNAVAILABLE` with outcome `not-run` if the call certainly had no
 * effect, `KEY_VALUE_ANSWER_LOST` with outcome `unknown` if a write may have taken effect. If the service rejects the call for
 * what it contains, so that a repeated one is rejected too, `isInvalidCall` tells it.
 */
export interface KeyValueService {
    /** Largest value that the service takes, in bytes; undefined for `MAX_VALUE_SIZE_BYTES`. */
    readonly maxValueSizeBytes?: number | undefined;
    get(key: string): Promise<KeyValueEntry | undefined>;
    /** Returns the entries whose key starts with `prefix` and sorts after `afterKey`, in key order, shape [entries]. */
    list(prefix: string, opts?: { limit?: number; afterKey?: string; }): Promise<KeyValueEntry[]>;
    /** Applies all operations, or none if a comparison fails. Values can have up to 1 MB. */
    transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult>;
    /** @returns the id of a new lease, which expires `ttlMs` milliseconds after it was granted or last kept alive */
    grantLease(ttlMs: number): Promise<string>;
    /** @returns the remaining time to live in milliseconds; 0 if the lease has expired */
    keepLeaseAlive(leaseId: string): Promise<number>;
    revokeLease(leaseId: string): Promise<void>;
    /**
     * Yields changes under `prefix` after `afterRevision` until aborted. Throws when the watch is lost, and
     * `KEY_VALUE_COMPACTED` when these changes are no longer stored.
     *
     * @param opts.waitMs longest wait of one call for a change, in milliseconds, where the service is polled
     */
    watch(
        prefix: string,
        opts: { afterRevision: number; signal: AbortSignal; waitMs?: number; },
    ): AsyncIterable<WatchBatch>;
}
