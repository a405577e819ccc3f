/** One run of a call, as the upstream itself recorded it. */
export interface Execution {
    service: string;
    /** Names the call: the job and item, or the idempotency key. */
    call: string;
    repeatable: boolean;
    atMs: number;
}
