/** Limits the number of concurrent calls to a service. */
export interface ConcurrencyLimit {
    /** Maximum number of concurrent calls. */
    readonly limit: number;
    /** Starts a call if the limit allows it. @returns whether the call may start now */
    tryAcquire(): boolean;
    /**
     * Ends a call that was started. `dropped` means that the service was overloaded or timed out. The duration of an
     * `ignored` call is not used.
     */
    release(result: { durationMs: number; kind: "success" | "dropped" | "ignored"; }): void;
}
