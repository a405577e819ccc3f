/** One prompt at one upstream. */
export interface PromptRun {
    /** Tokens that the upstream is expected not to read again. */
    readonly keptTokens: number;
    /** Tokens that the upstream is expected to read. */
    readonly readTokens: number;
    /** Records that the response has begun, `elapsedMs` after the request was sent. */
    onBegun(elapsedMs: number): void;
}
