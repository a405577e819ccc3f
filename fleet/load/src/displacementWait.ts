/** The wait of a request for the end of the batch runs that take the slots of its upstream. */
export interface DisplacementWait {
    /** Ends the wait without a call of `onEnded`. */
    cancel(): void;
}
