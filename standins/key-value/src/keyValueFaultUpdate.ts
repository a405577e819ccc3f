/** Body of `POST /faults`. Omitted fields keep their values. */
export interface KeyValueFaultUpdate {
    /** Whether calls are rejected as unavailable. Watches fail when the outage starts. */
    outage?: boolean;
    /** Delay of each call before it takes effect. */
    delayMs?: number;
    /** Delay of each response after the call took effect. */
    answerDelayMs?: number;
    /** Number of subsequent writes that take effect without a response. */
    loseAnswers?: number;
    /** Id of a lease that expires now. */
    lapseLease?: string;
    /** Permanently silences the connections that are open now. */
    silentConnections?: boolean;
}
