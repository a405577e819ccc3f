import type { KeyValueCompare } from "./keyValueCompare.js";
import type { KeyValueEntry } from "./keyValueEntry.js";
import type { KeyValueOperation } from "./keyValueOperation.js";
import type { TransactionResult } from "./transactionResult.js";
import type { WatchBatch } from "./watchBatch.js";

/**
 * The platform's key-value service. Each method makes one call, which the service counts.
 *
 * Methods reject with a KnapweedError: `KEY_VALUE_UNAVAILABLE` with outcome `not-run` if the call certainly had no
 * effect, `KEY_VALUE_ANSWER_LOST` with outcome `unknown` if a write may have taken effect.
 */
export interface KeyValueService {
    get(key: string): Promise<KeyValueEntry | undefined>;
    /** Returns the entries whose key starts with `prefix`, in key order, shape [entries]. */
    list(prefix: string, opts?: { limit?: number; afterKey?: string; }): Promise<KeyValueEntry[]>;
    /** Applies all operations, or none if a comparison fails. Values can have up to 1 MB. */
    transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult>;
    grantLease(ttlMs: number): Promise<string>;
    /** @returns the remaining time to live in milliseconds; 0 if the lease has expired */
    keepLeaseAlive(leaseId: string): Promise<number>;
    revokeLease(leaseId: string): Promise<void>;
    /**
     * Yields changes under `prefix` after `afterRevision` until aborted. Throws when the watch is lost.
     *
     * @param opts.waitMs how long one call may wait for a change, for services that are polled with calls
     */
    watch(
        prefix: string,
        opts: { afterRevision: number; signal: AbortSignal; waitMs?: number; },
    ): AsyncIterable<WatchBatch>;
}
