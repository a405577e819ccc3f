/** Numbers of calls to a key-value service, by kind. */
export interface KeyValueCounters {
    /** Calls of `get` and `list`. */
    reads: number;
    /** Calls of `transact`, `grantLease` and `revokeLease`, including those that changed nothing. */
    writes: number;
    /** Calls of `keepLeaseAlive`. */
    keepAlives: number;
    /** Watches started. */
    watches: number;
    /** Watches currently open. */
    activeWatches: number;
}
