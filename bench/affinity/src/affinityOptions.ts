/** Options of {@link runAffinity}. */
export interface AffinityOptions {
    /** Simulated duration. */
    seconds: number;
    /** Seed of the arrivals, the choosers and the lost cache events. */
    seed: number;
    /** Mean number of conversations that start each second. */
    conversationsPerSecond: number;
    upstreamCount: number;
    entryCount: number;
    /** Largest load at which an upstream that caches the prefix is still preferred, in multiples of the mean load. */
    affinityLoadFactor: number;
}
