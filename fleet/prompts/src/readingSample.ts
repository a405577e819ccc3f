/** A response to a request with a prompt. */
export interface ReadingSample {
    /** Tokens that the upstream was expected not to read again. */
    keptTokens: number;
    /** Tokens that the upstream was expected to read. */
    readTokens: number;
    /** Time to first data, in milliseconds at the speed of the service's mean. */
    timeMs: number;
}
