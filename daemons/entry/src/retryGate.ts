/** Decides whether a failed call may be tried again. */
export interface RetryGate {
    /** Counts a first attempt. */
    onRequest(nowMs: number): void;
    /** Takes one retry from the budget; false where there is none. */
    tryRetry(nowMs: number): boolean;
}
