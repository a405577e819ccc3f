/** Body of `POST /__faults`: what is left out stays as it is. */
export interface ServiceFaultUpdate {
    /** Delay before a call runs. */
    delayMs?: number;
    /** How many of the next calls run and are answered with status 500. */
    errors?: number;
    /** How many of the next calls are refused with status 503 without running. */
    refusals?: number;
    /** How many of the next calls run and lose their connection before the answer. */
    loseAnswers?: number;
    /** Ends the process after the next call has run, before its answer. */
    dieAfterNextCall?: boolean;
    /** Makes the connections that are open now go silent for good. */
    silentConnections?: boolean;
}
