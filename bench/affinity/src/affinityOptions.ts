/** Options of the bench. */
export interface AffinityOptions {
    seconds: number;
    seed: number;
    conversationsPerSecond: number;
    upstreamCount: number;
    entryCount: number;
    /** Largest load of an upstream that holds the prefix, in multiples of the mean. */
    affinityLoadFactor: number;
}
