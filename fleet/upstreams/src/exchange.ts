/** A request on its way. */
export interface Exchange {
    /** Ends the exchange by closing its connection, which ends the run at the upstream. */
    abort(): void;
    pause(): void;
    resume(): void;
}
