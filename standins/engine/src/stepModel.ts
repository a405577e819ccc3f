/** Durations and limits of the steps of an engine. */
export interface StepModel {
    /** Part of the duration of each step that doesn't depend on its work. */
    fixedMs: number;
    /** Duration that each running sequence adds to a step. */
    perSequenceMs: number;
    /** Duration that each prefill token adds to a step. */
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
