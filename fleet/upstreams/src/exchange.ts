/** An in-flight request to an upstream. */
export interface Exchange {
    /** Closes the connection of the exchange, which ends the run at the upstream. */
    abort(): void;
    /** Stops reading the response. */
    pause(): void;
    /** Continues reading the response. */
    resume(): void;
}
