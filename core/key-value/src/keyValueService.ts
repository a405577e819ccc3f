import type { KeyValueCompare } from "./keyValueCompare.js";
import type { KeyValueEntry } from "./keyValueEntry.js";
import type { KeyValueOperation } from "./keyValueOperation.js";
import type { TransactionResult } from "./transactionResult.js";
import type { WatchBatch } from "./watchBatch.js";

/**
 * The platform's key-value service. Each method is one call that the service counts.
 *
 * Methods throw a KnapweedError: `KEY_VALUE_UNAVAILABLE` with outcome `not-run` where the call provably had no
 * effect, `KEY_VALUE_ANSWER_LOST` with outcome `unknown` where a write may have taken effect.
 */
export interface KeyValueService {
    get(key: string): Promise<KeyValueEntry | undefined>;
    /** Entries whose key starts with `prefix`, in key order, shape [entries]. */
    list(prefix: string, opts?: { limit?: number; afterKey?: string; }): Promise<KeyValueEntry[]>;
    /** Applies all operations, or none where a comparison fails. Values of up to 1 MB. */
    transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult>;
    grantLease(ttlMs: number): Promise<string>;
    /** @returns the time to live left in milliseconds; 0 where the lease has lapsed */
    keepLeaseAlive(leaseId: string): Promise<number>;
    revokeLease(leaseId: string): Promise<void>;
    /**
     * Reports changes under `prefix` after `afterRevision`, until aborted. Throws when the watch is lost.
     *
     * @param opts.waitMs how long one call may wait for a change where the service is asked by calls
     */
    watch(
        prefix: string,
        opts: { afterRevision: number; signal: AbortSignal; waitMs?: number; },
    ): AsyncIterable<WatchBatch>;
}
