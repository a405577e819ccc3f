/** Calls to a key-value service, by kind. */
export interface KeyValueCounters {
    /** Calls of `get` and `list`. */
    reads: number;
    /** Calls of `transact`, `grantLease` and `revokeLease`, whether or not they changed anything. */
    writes: number;
    /** Calls of `keepLeaseAlive`. */
    keepAlives: number;
    /** Watches begun. */
    watches: number;
    /** Watches that wait now. */
    activeWatches: number;
}
