/** Load of a gate, by its own counts. */
export interface GateLoad {
    onlineRunning: number;
    onlineQueued: number;
    batchRunning: number;
    /** Batch items held here and not running. */
    batchQueued: number;
    /** Prompt tokens of online calls that the engine has still to process. */
    onlinePrefillTokens: number;
    /** Predicted duration of the engine's next step. */
    predictedStepMs: number;
    /** Batch streams cancelled to make room, since the start. */
    preemptions: number;
    /** Tokens of cancelled batch streams that were not kept for a resume, since the start. */
    discardedTokens: number;
    /** Tokens that batch items have produced here, since the start. */
    batchTokens: number;
}
