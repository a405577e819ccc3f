/** Body of `POST /faults`: what is left out stays as it is. */
export interface KeyValueFaultUpdate {
    outage?: boolean;
    delayMs?: number;
    answerDelayMs?: number;
    /** How many of the next writes take effect without an answer. */
    loseAnswers?: number;
    /** Id of a lease to end now. */
    lapseLease?: string;
    /** Makes the connections that are open now go silent for good. */
    silentConnections?: boolean;
}
