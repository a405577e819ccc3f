/** Totals of the work that an engine has done. */
export interface EngineTotals {
    steps: number;
    busyMs: number;
    decodeTokens: number;
    /** Those of requests whose `user` is `batch`. */
    batchDecodeTokens: number;
    prefillTokens: number;
    /** Batch requests that were cancelled. */
    batchCancelled: number;
    /** Tokens that cancelled batch requests had produced, whether resumed from or not. */
    batchCancelledTokens: number;
    /** Tokens that batch requests were resumed from. */
    batchResumedTokens: number;
}
