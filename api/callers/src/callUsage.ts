/** What a call has used, so far as is known. */
export interface CallUsage {
    promptTokens: number;
    completionTokens: number;
}
