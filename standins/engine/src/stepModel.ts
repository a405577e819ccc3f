/** Durations and limits of the steps of an engine. */
export interface StepModel {
    fixedMs: number;
    perSequenceMs: number;
    perPrefillTokenMs: number;
    /** Maximum number of running sequences. Further ones wait inside the engine. */
    maxSequences: number;
    /** Maximum number of prefill tokens of all sequences in one step. */
    maxPrefillTokensPerStep: number;
    /** KV-cache size available to running sequences, in tokens. */
    kvTokensLimit: number;
    /** Size of the prefix cache, in tokens. */
    prefixCacheTokens: number;
    /** Age of the load that the engine reports. */
    loadLagMs: number;
}
