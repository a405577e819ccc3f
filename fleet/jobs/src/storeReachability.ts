/** Which processes reach the key-value service, as far as one of them knows. */
export interface StoreReachability {
    /** Whether this process reaches it. */
    isReachable: boolean;
    /** Whether a peer reports that it reaches it. */
    isReachableByPeer: boolean;
    /** Time of the last success of this process, Unix ms; -Infinity before the first. */
    lastReachedAtMs: number;
}
