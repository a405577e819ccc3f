/** Bounds the calls in flight to a service. */
export interface ConcurrencyLimit {
    /** Calls that may be in flight. */
    readonly limit: number;
    /** @returns whether a call may start now */
    tryAcquire(): boolean;
    /** Ends a call that was started. `dropped` means that the service was overloaded or timed out. */
    release(result: { durationMs: number; kind: "success" | "dropped" | "ignored"; }): void;
}
