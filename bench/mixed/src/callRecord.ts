/** Record of one online call. Times are in milliseconds of `performance.now()`. */
export interface CallRecord {
    dueMs: number;
    promptCharacters: number;
    /** Arrival times of the tokens, shape [tokens]. */
    tokenTimesMs: number[];
    /** Whether the stream ended completely. */
    isWhole: boolean;
    /** Error text where the request failed or was rejected; undefined otherwise. */
    failure: string | undefined;
}
