/** A pending timer of a {@link Clock}. */
export interface Timer {
    /** Stops the timer. Has no effect once the timer has fired. */
    cancel(): void;
}
