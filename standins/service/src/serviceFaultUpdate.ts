/** Body of `POST /__faults`. Omitted fields keep their values. */
export interface ServiceFaultUpdate {
    /** Delay before a call runs. */
    delayMs?: number;
    /** Number of subsequent calls that run and get a response with status 500. */
    errors?: number;
    /** Number of subsequent calls that are rejected with status 503 and don't run. */
    refusals?: number;
    /** Number of subsequent calls that run, but whose connection is closed before the response. */
    loseAnswers?: number;
    /** Whether the process exits after the next call has run, before its response. */
    dieAfterNextCall?: boolean;
    /** If true, silences the connections that are open now, for good. */
    silentConnections?: boolean;
}
