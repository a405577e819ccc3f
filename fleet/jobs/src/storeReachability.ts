/** What a process knows of who reaches the key-value service. */
export interface StoreReachability {
    /** Whether this process reaches it. */
    isReachable: boolean;
    /** Whether a peer reports that it reaches it. */
    isReachableByPeer: boolean;
    /** Time of the last success of this process, Unix ms; -Infinity before the first. */
    lastReachedAtMs: number;
}
