/** Duration of one step of an engine, and its bounds. */
export interface StepModel {
    fixedMs: number;
    perSequenceMs: number;
    perPrefillTokenMs: number;
    /** Sequences that run at once; more wait inside the engine. */
    maxSequences: number;
    /** Prefill tokens processed in one step, all sequences together. */
    maxPrefillTokensPerStep: number;
    /** KV-cache memory of running sequences. */
    kvTokensLimit: number;
    /** Memory of the prefix cache. */
    prefixCacheTokens: number;
    /** Age of the load report. */
    loadLagMs: number;
}
