/** What came of one online call. Times are by `performance.now()`. */
export interface CallRecord {
    dueMs: number;
    promptCharacters: number;
    /** Shape [tokens]. */
    tokenTimesMs: number[];
    isWhole: boolean;
    failure: string | undefined;
}
