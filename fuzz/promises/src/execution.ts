/** One execution of a call, recorded at the upstream itself. */
export interface Execution {
    service: string;
    /** Identifies the call: `jobId/itemIndex`, or `keyed/` and the idempotency key. */
    call: string;
    /** Whether the call may run more than once. */
    repeatable: boolean;
    atMs: number;
}
