import type { KeyValueEntry } from "./keyValueEntry.js";

/** Outcome of a transaction. */
export interface TransactionResult {
    succeeded: boolean;
    /** Revision of the service after the transaction; the modRevision of each key put, where it succeeded. */
    revision: number;
    /** Where it did not succeed: the compared keys as they are, absent ones left out. */
    current: KeyValueEntry[];
}
