/** Tokens that a call used, as far as known. */
export interface CallUsage {
    promptTokens: number;
    completionTokens: number;
}
