/** Body of `POST /faults`. Omitted fields keep their values. */
export interface KeyValueFaultUpdate {
    outage?: boolean;
    delayMs?: number;
    answerDelayMs?: number;
    /** Number of subsequent writes that take effect without a response. */
    loseAnswers?: number;
    /** Id of a lease that expires now. */
    lapseLease?: string;
    /** Makes the connections that are open now go silent for good. */
    silentConnections?: boolean;
}
