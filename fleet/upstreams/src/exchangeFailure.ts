/** The reason why an exchange ended without a complete response. */
export interface ExchangeFailure {
    /** False only if the upstream certainly received nothing of the request. */
    mayHaveRun: boolean;
    /** Whether the HTTP client refused to send the request to any upstream, so that a repeated one is refused too. */
    isUnsendable?: true;
    /** Whether no connection could be established. */
    isUnreachable: boolean;
    /** Whether the connection broke, as it does when the upstream ends, and wasn't closed by this process. */
    isConnectionBroken: boolean;
    /** Identifies the reason; the message of the HTTP client's error if that has no code. */
    code: string;
    /** What the HTTP client says of a request of which it sent nothing; undefined for other failures. */
    message?: string;
}
