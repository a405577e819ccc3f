/** Load that the engine reports. The figures are slightly out of date. */
export interface EngineLoad {
    runningSequences: number;
    waitingSequences: number;
    kvTokensUsed: number;
    kvTokensLimit: number;
    maxSequences: number;
    /** Duration of the last step, in milliseconds. */
    lastStepMs: number;
    /** Maximum number of prompt tokens per step; undefined if the engine doesn't report it. */
    maxPrefillTokensPerStep?: number;
}
