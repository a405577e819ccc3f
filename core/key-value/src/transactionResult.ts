import type { KeyValueEntry } from "./keyValueEntry.js";

/** Outcome of a transaction. */
export interface TransactionResult {
    succeeded: boolean;
    /** Revision of the service after the transaction; if it succeeded, the `modRevision` of each key that it put. */
    revision: number;
    /** If the transaction did not succeed, the current entries of the compared keys, without absent ones. */
    current: KeyValueEntry[];
}
