/** Load as the engine reports it, with a lag. */
export interface EngineLoad {
    runningSequences: number;
    waitingSequences: number;
    kvTokensUsed: number;
    kvTokensLimit: number;
    maxSequences: number;
    /** Duration of the last step. */
    lastStepMs: number;
    /** Prompt tokens that one step processes at most, where the engine tells. */
    maxPrefillTokensPerStep?: number;
}
