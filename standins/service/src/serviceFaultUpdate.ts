/** Body of `POST /__faults`. Omitted fields keep their values. */
export interface ServiceFaultUpdate {
    /** Delay before a call runs. */
    delayMs?: number;
    /** Number of subsequent calls that run and get a response with status 500. */
    errors?: number;
    /** Number of subsequent calls that are rejected with status 503 and don't run. */
    refusals?: number;
    /** Number of subsequent calls that run, but lose their connection before the response. */
    loseAnswers?: number;
    /** Ends the process after the next call has run, before its response. */
    dieAfterNextCall?: boolean;
    /** Permanently silences the connections that are open now. */
    silentConnections?: boolean;
}
