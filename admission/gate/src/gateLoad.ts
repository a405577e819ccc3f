/** Load of a gate, according to its own counts. */
export interface GateLoad {
    onlineRunning: number;
    onlineQueued: number;
    batchRunning: number;
    /** Batch items that wait at the gate. */
    batchQueued: number;
    /** Prompt tokens of running online calls that the engine has not processed yet. */
    onlinePrefillTokens: number;
    /** Predicted duration of the engine's next step, in milliseconds. */
    predictedStepMs: number;
    /** Number of batch streams preempted since the start. */
    preemptions: number;
    /** Tokens of cancelled batch streams that could not be kept for resuming, since the start. */
    discardedTokens: number;
    /** Tokens produced by batch items at this gate since the start. */
    batchTokens: number;
}
