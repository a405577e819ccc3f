/** Why an exchange ended without a whole answer. */
export interface ExchangeFailure {
    /** False where the upstream certainly got nothing of the request. */
    mayHaveRun: boolean;
    /** Whether no connection could be made. */
    isUnreachable: boolean;
    code: string;
}
