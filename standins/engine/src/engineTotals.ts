/** Totals of the work of an engine since its start. */
export interface EngineTotals {
    steps: number;
    /** Total duration of the steps. */
    busyMs: number;
    decodeTokens: number;
    /** Decoded tokens of batch requests, whose `user` is `batch`. */
    batchDecodeTokens: number;
    prefillTokens: number;
    /** Batch requests that were cancelled. */
    batchCancelled: number;
    /** Tokens of cancelled batch requests, whether a later request resumed from them or not. */
    batchCancelledTokens: number;
    /** Tokens that batch requests already had when they were resumed. */
    batchResumedTokens: number;
}
